/** Backend servers in need state a limit on the requests per second from all routers together. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AttemptOutcome,
  createEmptyReport,
  createCrashBlocks,
  createReporter,
  createReportExchange,
  createServerLimits,
  createStoreNews,
  LinkKind,
  RefusalCode,
  requestedWaitMs,
} from '../../src/direct/index.js';
import type { DirectEffect, RouterReport } from '../../src/direct/index.js';
import {
  createSampleRouter,
  expectRefusal,
  expectSend,
  sampleConfig,
  sampleEntry,
  sampleRoute,
} from './sample.js';
import type { SampleRouter } from './sample.js';

const SERVER = 'e1@1';
const announcement = {
  leaving: false,
  retryAfterMs: undefined,
  invalidRetryAfter: undefined,
  requestsPerSecond: undefined,
  invalidLimit: undefined,
};

/** Answers a request with the head of a response in which the server states `requestsPerSecond`. */
function answer(
  router: SampleRouter,
  { attempt, serverKey }: Extract<DirectEffect, { kind: 'send' }>,
  requestsPerSecond: number | undefined,
  requestSentAtMs = router.now(),
): void {
  router.dispatch({
    kind: 'server-announced',
    serverKey,
    announcement: { ...announcement, requestsPerSecond },
    requestSentAtMs,
  });
  router.dispatch({
    kind: 'attempt-ended',
    attempt,
    outcome: AttemptOutcome.Complete,
    detail: 'status 200',
  });
}

/** The rules for callers' servers: from this time after a limit is stated, it holds in each window. */
const CONTACT_MS = 4000;
const RULE_WINDOW_MS = 4000;
const maxRequests = (requestsPerSecond: number): number =>
  1.5 * requestsPerSecond * (RULE_WINDOW_MS / 1000) + 5;

interface FleetOptions {
  requestsPerSecond: number;
  /** Requests per second at each router. */
  rates: readonly number[];
  seconds: number;
}

const STEP_MS = 10;
const REPORT_DELAY_MS = 60;

/** Plays routers with one server that states a limit in all answers; returns the times at which it got requests. */
function playFleet({ requestsPerSecond, rates, seconds }: FleetOptions): number[] {
  const route = sampleRoute({ streaming: false });
  const fleet = rates.map((rate, index) => {
    const router = createSampleRouter([sampleEntry('e1')], sampleConfig(), `r${index}/1`);
    router.dispatch({ kind: 'peers-listed', routers: rates.map((_rate, number) => `r${number}`) });
    return { router, rate, reporter: createReporter(`r${index}`), due: index / rates.length };
  });
  const inTransit: { report: RouterReport; from: number; atMs: number }[] = [];
  const sentAtMs: number[] = [];
  for (let elapsedMs = 0; elapsedMs < seconds * 1000; elapsedMs += STEP_MS) {
    const arrived = inTransit.filter(({ atMs }) => atMs <= elapsedMs);
    arrived.forEach((each) => inTransit.splice(inTransit.indexOf(each), 1));
    fleet.forEach((member, index) => {
      const { router, rate, reporter } = member;
      router.advance(STEP_MS);
      arrived
        .filter(({ from }) => from !== index)
        .forEach(({ report }) => router.dispatch({ kind: 'peer-report', report }));
      member.due += (rate * STEP_MS) / 1000;
      while (member.due >= 1) {
        member.due -= 1;
        const effects = router.request(`r${index}-${elapsedMs}`, { route, promptParts: [] });
        effects
          .filter((effect) => effect.kind === 'send')
          .forEach((effect) => {
            sentAtMs.push(elapsedMs);
            answer(router, effect, requestsPerSecond);
          });
      }
      const report = reporter.compose(router.state, router.now());
      if (report !== undefined)
        inTransit.push({ report, from: index, atMs: elapsedMs + REPORT_DELAY_MS });
    });
  }
  return sentAtMs;
}

const countIn = (sentAtMs: readonly number[], fromMs: number, toMs: number): number =>
  sentAtMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length;

/** Guards against servers that get the limit from each router, or all of it from routers that haven't heard of each other's sends. */
const FLEETS: [name: string, options: FleetOptions][] = [
  ['few routers', { requestsPerSecond: 5, rates: [8, 8, 8, 8], seconds: 24 }],
  ['uneven demand', { requestsPerSecond: 5, rates: [30, 2, 2, 1, 0.5], seconds: 24 }],
  ['many routers', { requestsPerSecond: 4, rates: Array<number>(60).fill(2), seconds: 24 }],
  ['a high limit', { requestsPerSecond: 60, rates: [90, 30, 10, 2], seconds: 24 }],
  ['a limit below one', { requestsPerSecond: 0.4, rates: [9, 5, 5, 5], seconds: 60 }],
];
FLEETS.forEach(([name, options]) => {
  test(`a server gets what its limit allows from all routers together, not more: ${name}`, () => {
    const { requestsPerSecond, seconds } = options;
    const sentAtMs = playFleet(options);
    const allowed = maxRequests(requestsPerSecond);
    for (let fromMs = CONTACT_MS; fromMs < seconds * 1000; fromMs += 100) {
      const count = countIn(sentAtMs, fromMs, fromMs + RULE_WINDOW_MS);
      assert.ok(count <= allowed, `${count} requests from ${fromMs} ms, ${allowed} allowed`);
    }
    // No capacity idles while callers are refused.
    const halfMs = (seconds * 1000) / 2;
    const used = countIn(sentAtMs, halfMs, 2 * halfMs) / (seconds / 2);
    assert.ok(used >= 0.8 * requestsPerSecond, `${used} of ${requestsPerSecond} a second`);
  });
});

test('requests beyond a limit go to other servers; without any, they are refused with the time to the next one', () => {
  const router = createSampleRouter([sampleEntry('e1'), sampleEntry('e2', { zone: 'z2' })]);
  const first = expectSend(router.request('first'));
  assert.equal(first.serverKey, SERVER);
  answer(router, first, 0.5);
  const others = ['a', 'b', 'c'].map((id) => expectSend(router.request(id)).serverKey);
  assert.deepEqual(others, ['e2@1', 'e2@1', 'e2@1']);
  router.dispatch({ kind: 'server-removed', id: 'e2' });
  const { refusal } = expectRefusal(router.request('refused'));
  assert.equal(refusal.code, RefusalCode.NoServer);
  assert.equal(refusal.ran, 'no');
  const waitMs = requestedWaitMs(router.state, router.state.registry.get(SERVER)!, router.now());
  assert.ok(waitMs > 500);
  assert.ok(refusal.retryAfterMs! >= waitMs, `${refusal.retryAfterMs} ms`);
});

test('a router with little of the demand does not send callers away for longer than its part holds', () => {
  const router = createSampleRouter([sampleEntry('e1')]);
  answer(router, expectSend(router.request('first')), 0.5);
  const report = { ...createEmptyReport('peer'), demand: [['engines', 999] as [string, number]] };
  router.dispatch({ kind: 'peer-report', report });
  const { refusal } = expectRefusal(router.request('refused'));
  assert.ok(refusal.retryAfterMs! <= 6000, `${refusal.retryAfterMs} ms`);
});

test('retries count: a request that did not run is not sent again to a server beyond its limit', () => {
  const router = createSampleRouter();
  const first = expectSend(router.request('first'));
  const other = first.serverKey === SERVER ? 'e2@1' : SERVER;
  router.dispatch({
    kind: 'server-announced',
    serverKey: other,
    announcement: { ...announcement, requestsPerSecond: 0.1 },
    requestSentAtMs: router.now(),
  });
  const effects = router.dispatch({
    kind: 'attempt-ended',
    attempt: first.attempt,
    outcome: AttemptOutcome.NotRun,
    detail: 'status 503',
  });
  const sentTo = effects.flatMap((effect) => (effect.kind === 'send' ? [effect.serverKey] : []));
  assert.equal(sentTo.includes(other), false);
});

test('a starting router does not query the cache of a server beyond its limit', () => {
  const router = createSampleRouter();
  const limit = { serverKey: SERVER, requestsPerSecond: 0.1, ageMs: 50 };
  const report = { ...createEmptyReport('peer'), limits: [limit] };
  router.dispatch({ kind: 'peer-report', report });
  const effects = router.dispatch({ kind: 'tick' });
  const queried = effects.flatMap((effect) =>
    effect.kind === 'list-kept' ? [effect.serverKey] : [],
  );
  assert.deepEqual(queried, ['e2@1']);
});

test('a limit holds for one run of a server and until the run has answered a later request without it', () => {
  const limits = createServerLimits(() => 0);
  assert.equal(limits.recordAnswer(SERVER, 2, 900, 1000), true);
  assert.ok(limits.get(SERVER)!.waitMs(1, 1000) > 0);
  assert.equal(limits.get('e1@2'), undefined);
  // This answer may have been written before the limit was stated.
  assert.equal(limits.recordAnswer(SERVER, undefined, 990, 1100), false);
  assert.equal(limits.get(SERVER)!.requestsPerSecond(), 2);
  assert.equal(limits.recordAnswer(SERVER, undefined, 1010, 1200), true);
  assert.equal(limits.get(SERVER)!.waitMs(1, 1200), 0);
});

test('of the statements of two routers the later one holds, and a router with an earlier one is told', () => {
  const [early, late] = [createServerLimits(() => 0), createServerLimits(() => 0)];
  early.recordAnswer(SERVER, 2, 0, 1000);
  const [stated] = early.describe(early.takeNews(), 1050);
  assert.equal(late.recordPeerLimit(stated!, 1050), true);
  late.recordAnswer(SERVER, undefined, 1100, 1200);
  early.recordAnswer(SERVER, 3, 1100, 1300);
  const [lifted] = late.describe(late.takeNews(), 1310);
  early.takeNews();
  assert.equal(early.recordPeerLimit(lifted!, 1310), false);
  assert.equal(early.get(SERVER)!.requestsPerSecond(), 3);
  const [corrected] = early.describe(early.takeNews(), 1320);
  assert.equal(late.recordPeerLimit(corrected!, 1320), true);
  assert.equal(late.get(SERVER)!.requestsPerSecond(), 3);
});

// Guards against a router that sends at full rate after its own restart.
test('a link that is opened later learns of the limits', () => {
  const serverLimits = createServerLimits(() => 0);
  serverLimits.recordAnswer(SERVER, 5.2, 900, 1000);
  const exchange = createReportExchange({
    router: 'r1',
    storeNews: createStoreNews(),
    blocks: createCrashBlocks(),
    serverLimits,
  });
  exchange.open('late', LinkKind.Member, 3000);
  assert.deepEqual(exchange.compose('late', 3000)?.limits, [
    { serverKey: SERVER, requestsPerSecond: 5.2, ageMs: 2000 },
  ]);
});

test('a limit outlives the entry of its server and is forgotten when later servers are removed', () => {
  const router = createSampleRouter([sampleEntry('e1'), sampleEntry('e2', { zone: 'z2' })]);
  answer(router, expectSend(router.request('first')), 0.5);
  router.dispatch({ kind: 'server-removed', id: 'e1' });
  assert.equal(router.state.serverLimits.get(SERVER)!.requestsPerSecond(), 0.5);
  router.advance(600_001);
  router.dispatch({ kind: 'server-removed', id: 'e2' });
  assert.equal(router.state.serverLimits.get(SERVER), undefined);
});

test('an invalid limit changes nothing and is logged', () => {
  const router = createSampleRouter();
  const effects = router.dispatch({
    kind: 'server-announced',
    serverKey: SERVER,
    announcement: { ...announcement, invalidLimit: 'many' },
    requestSentAtMs: router.now(),
  });
  assert.deepEqual(
    effects.map((effect) => effect.kind === 'note' && effect.event),
    ['server-limit-malformed'],
  );
});
