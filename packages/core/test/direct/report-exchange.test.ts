/** A fleet that grows: reports pass hubs in place of going from every router to every other, and each router still sees exact sums. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  createEmptyReport,
  createCrashBlocks,
  createReportExchange,
  createServerLimits,
  createStoreNews,
  LinkKind,
  planExchange,
} from '../../src/direct/index.js';
import type { ReportExchange, RouterInfo, RouterReport } from '../../src/direct/index.js';

const hasher = {
  hash32: (text: string) =>
    [...text].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 4_294_967_296, 7),
};

const createTestExchange = (router: string, storeNews = createStoreNews()): ReportExchange =>
  createReportExchange({
    router,
    storeNews,
    blocks: createCrashBlocks(),
    serverLimits: createServerLimits(() => 0),
  });

function createFleet(size: number, zones = 6): RouterInfo[] {
  return Array.from({ length: size }, (_none, index) => ({
    name: `router-${index}`,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:1`,
    zone: `z${index % zones}`,
    cores: index % 3 === 0 ? 1 : 0.25,
  }));
}

const planAll = (fleet: RouterInfo[]) =>
  new Map(fleet.map(({ name }) => [name, planExchange(hasher, name, fleet)]));

test('in a small fleet every router is linked with every other', () => {
  planAll(createFleet(5, 3)).forEach((plan) => {
    assert.deepEqual([plan.hubCandidates.length, plan.otherGroups.size], [0, 4]);
  });
});

test('in a growing fleet the links of a hub grow with the square root of its size, those of other routers not at all', () => {
  [30, 100, 300, 1100].forEach((size) => {
    const fleet = createFleet(size, size > 300 ? 20 : 6);
    const plans = planAll(fleet);
    const members = new Map<string, number>();
    plans.forEach(({ hubCandidates: [hub] }) => {
      if (hub !== undefined) members.set(hub.name, (members.get(hub.name) ?? 0) + 1);
    });
    plans.forEach(({ hubCandidates, otherGroups }, name) => {
      const links = hubCandidates.length > 0 ? 1 : otherGroups.size + (members.get(name) ?? 0);
      assert.ok(links <= 4 * Math.sqrt(size) + 4, `${links} links at ${size} routers`);
      otherGroups.forEach((group) => {
        assert.ok(
          group.every(({ name: other }) => !hubCandidates.some((hub) => hub.name === other)),
        );
      });
    });
  });
});

test('the hub of a group has the largest share of a processor, and without it the next one is preferred by all', () => {
  const fleet = createFleet(30);
  const plans = planAll(fleet);
  const coresOf = new Map(fleet.map(({ name, cores }) => [name, cores]));
  plans.forEach(({ hubCandidates }, name) => {
    hubCandidates.forEach((hub) => assert.ok(hub.cores >= coresOf.get(name)!));
  });
  const [lost] = [...plans].find(([, plan]) => plan.hubCandidates.length === 0)!;
  planAll(fleet.filter(({ name }) => name !== lost)).forEach(({ hubCandidates }, name) => {
    const before = plans.get(name)!.hubCandidates.filter((hub) => hub.name !== lost);
    assert.deepEqual(hubCandidates, before);
  });
});

interface SimulatedRouter {
  exchange: ReportExchange;
  /** Names under which this router knows its recipients, with their name of the link to this router. */
  recipients: Map<string, { router: SimulatedRouter; link: string }>;
  /** Running requests of others by server, summed over the links. */
  seen: Map<string, Map<string, number>>;
  tokens: number;
  accountTokens: number;
}

/** Two groups with hubs h0 and h1 and `members` members each. */
function createGroups(members: number): Map<string, SimulatedRouter> {
  const routers = new Map<string, SimulatedRouter>();
  const create = (name: string): void => {
    const exchange = createTestExchange(name);
    exchange.open('own', LinkKind.Own, 0);
    const router = {
      exchange,
      recipients: new Map(),
      seen: new Map(),
      tokens: 0,
      accountTokens: 0,
    };
    routers.set(name, router);
  };
  ['h0', 'h1'].forEach((hub, group) => {
    create(hub);
    for (let index = 0; index < members; index += 1) create(`m${group}${index}`);
  });
  const connect = (from: string, kind: LinkKind, to: string, otherKind: LinkKind): void => {
    const [source, target] = [routers.get(from)!, routers.get(to)!];
    source.exchange.open(`${kind}:${to}`, kind, 0);
    target.exchange.open(`${otherKind}:${from}`, otherKind, 0);
    source.recipients.set(`${kind}:${to}`, { router: target, link: `${otherKind}:${from}` });
    if (otherKind === LinkKind.Member)
      target.recipients.set(`${otherKind}:${from}`, { router: source, link: `${kind}:${to}` });
  };
  routers.forEach((_router, name) => {
    if (name.startsWith('m')) connect(name, LinkKind.Hub, `h${name[1]}`, LinkKind.Member);
  });
  connect('h0', LinkKind.OtherHubOut, 'h1', LinkKind.OtherHubIn);
  connect('h1', LinkKind.OtherHubOut, 'h0', LinkKind.OtherHubIn);
  return routers;
}

/** Delivers reports until no router has news. */
function settle(routers: Map<string, SimulatedRouter>): void {
  for (let round = 0; round < 10; round += 1) {
    routers.forEach(({ exchange, recipients }) => {
      recipients.forEach(({ router, link }, key) => {
        const report = exchange.compose(key, 0);
        if (report === undefined) return;
        router.exchange.receive(link, report, 0);
        const bySever = router.seen.get(link) ?? new Map<string, number>();
        report.loads.forEach(({ serverKey, running, sentTokens }) => {
          bySever.set(serverKey, running);
          router.tokens += sentTokens;
        });
        report.accounts.forEach(([, requested]) => {
          router.accountTokens += requested;
        });
        router.seen.set(link, bySever);
      });
    });
  }
}

function seenRunning({ seen }: SimulatedRouter, serverKey: string): number {
  return [...seen.values()].reduce((sum, bySever) => sum + (bySever.get(serverKey) ?? 0), 0);
}

const ownReport = (serverKey: string, running: number, sentTokens: number): RouterReport => ({
  ...createEmptyReport(''),
  loads: [{ serverKey, running, sentTokens, sentRequests: 0, promptParts: [] }],
  accounts: [['kingston', sentTokens, 0]],
});

test('whatever routers report in whatever order, each sees the exact sums of all others', () => {
  const change = fc.record({
    router: fc.constantFrom('h0', 'h1', 'm00', 'm01', 'm10', 'm11'),
    server: fc.constantFrom('e1', 'e2', 'e3'),
    running: fc.integer({ min: 0, max: 9 }),
    tokens: fc.integer({ min: 0, max: 9000 }),
    settles: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
      const routers = createGroups(2);
      const running = new Map<string, number>();
      const tokens = new Map<string, number>();
      changes.forEach(({ router, server, running: count, tokens: sent, settles }) => {
        routers.get(router)!.exchange.receive('own', ownReport(server, count, sent), 0);
        running.set(`${router} ${server}`, count);
        tokens.set(router, (tokens.get(router) ?? 0) + sent);
        if (settles) settle(routers);
      });
      settle(routers);
      routers.forEach((router, name) => {
        ['e1', 'e2', 'e3'].forEach((server) => {
          const expected = [...running].reduce(
            (sum, [key, count]) =>
              key.endsWith(` ${server}`) && !key.startsWith(`${name} `) ? sum + count : sum,
            0,
          );
          assert.equal(seenRunning(router, server), expected);
        });
        const expectedTokens = [...tokens].reduce(
          (sum, [other, sent]) => (other === name ? sum : sum + sent),
          0,
        );
        assert.deepEqual([router.tokens, router.accountTokens], [expectedTokens, expectedTokens]);
      });
    }),
    { seed: 68, numRuns: 100 },
  );
});

test('what a lost link has reported no longer counts, and a new link gets all current sums', () => {
  const hub = createTestExchange('hub');
  hub.open('own', LinkKind.Own, 0);
  hub.open('a', LinkKind.Member, 0);
  hub.open('b', LinkKind.Member, 0);
  hub.receive('own', ownReport('e1', 1, 0), 0);
  hub.receive('a', ownReport('e1', 4, 0), 0);
  assert.equal(hub.compose('b', 0)?.loads[0]?.running, 5);
  hub.close('a');
  assert.equal(hub.compose('b', 0)?.loads[0]?.running, 1);
  hub.open('c', LinkKind.Member, 0);
  assert.equal(hub.compose('c', 0)?.loads[0]?.running, 1);
  assert.equal(hub.compose('a', 0), undefined);
});

test('many changes of one server cost one entry, and a large report is split', () => {
  const hub = createTestExchange('hub');
  hub.open('own', LinkKind.Own, 0);
  hub.open('b', LinkKind.Member, 0);
  for (let index = 0; index < 50; index += 1) hub.receive('own', ownReport('e1', index, 10), 0);
  const report = hub.compose('b', 0);
  assert.deepEqual([report?.loads.length, report?.loads[0]?.sentTokens], [1, 500]);
  for (let index = 0; index < 300; index += 1) hub.receive('own', ownReport(`s${index}`, 1, 1), 0);
  const sizes = [hub.compose('b', 0), hub.compose('b', 0), hub.compose('b', 0)].map(
    (part) => part?.loads.length ?? 0,
  );
  assert.equal(
    sizes.reduce((sum, size) => sum + size, 0),
    300,
  );
  assert.ok(Math.max(...sizes) <= 128);
  assert.equal(hub.hasNews('b'), false);
});

test('two groups watch the store for a grown fleet, whatever its size; in a small fleet each router watches for itself', () => {
  [30, 300].forEach((size) => {
    const hubs = [...planAll(createFleet(size)).values()].filter(
      ({ watchesStore, hubCandidates }) => watchesStore && hubCandidates.length === 0,
    );
    assert.equal(hubs.length, 2);
  });
  planAll(createFleet(5)).forEach(({ watchesStore }) => assert.equal(watchesStore, false));
});

test('news of the store are passed on with their age, and an older change or confirmation says nothing', () => {
  const news = createStoreNews();
  assert.equal(news.record('servers', { era: 1, revision: 9, confirmedAtMs: 100 }), true);
  assert.equal(news.record('servers', { era: 1, revision: 8, confirmedAtMs: 200 }), false);
  assert.equal(news.record('servers', { era: 1, revision: 9, confirmedAtMs: 90 }), false);
  const hub = createTestExchange('hub', news);
  hub.open('member', LinkKind.Member, 0);
  hub.open('other', LinkKind.OtherHubIn, 0);
  assert.deepEqual(hub.compose('member', 150)?.storeNews, [
    { kind: 'servers', era: 1, revision: 9, ageMs: 50 },
  ]);
  const storeNews = [{ kind: 'servers', era: 2, revision: 3, ageMs: 20 }];
  hub.receive('other', { ...createEmptyReport(''), storeNews }, 300);
  assert.deepEqual(news.get('servers'), {
    era: 2,
    revision: 3,
    confirmedAtMs: 280,
    source: 'other',
  });
  assert.deepEqual(hub.compose('member', 310)?.storeNews, [{ ...storeNews[0], ageMs: 30 }]);
  assert.equal(hub.compose('member', 320), undefined);
});
