/**
 * Fleet of routers under virtual time: the real feeds, news, topology, links and exchange and pacing of reports, over a store and links
 * whose open connections go silent for good while new ones work, beside routers that lose power.
 */
import type { MockTimers } from 'node:test';
import { setImmediate as nextIteration } from 'node:timers/promises';
import {
  createCrashBlocks,
  createReportExchange,
  createServerLimits,
  createStoreNews,
  LinkKind,
  planExchange,
} from '@kingcupsill/core/direct';
import { createHasher } from '@kingcupsill/core/hash';
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreResult } from '@kingcupsill/prepared-platform';
import { createExchangeListener } from '../../src/peers/exchange-listener.js';
import { createReportCodec } from '../../src/peers/report-codec.js';
import { createReportSender } from '../../src/peers/report-sender.js';
import { createGroupLinks } from '../../src/peers/group-links.js';
import type { GroupLinks } from '../../src/peers/group-links.js';
import { LinkRole, LIVENESS_CHECK_PERIOD_MS } from '../../src/peers/types.js';
import { MAX_IDLE_MS, planChangeTiming } from '../../src/store/change-timing.js';
import { createFollowedNews } from '../../src/store/followed-news.js';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createFeedOptions } from '../standins/feed-options.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import { createVirtualNetwork } from './virtual-links.js';

export const KINDS = [StoreKind.Configuration, StoreKind.Servers];
/** One-way delays in the own zone, to the other zones and to other regions. */
const LATENCIES_MS = [1, 5, 17];
const STORE_MS = 4;
const STEP_MS = 10;

/** What happens to a share of the routers, at a time in milliseconds. */
export type Incident = { atMs: number } & (
  | { kind: 'change'; of: StoreKind }
  | { kind: 'silent-store' | 'silent-links' | 'power-lost'; share: number; salt: number }
  | { kind: 'history-gone' }
);

/** Time at which a router had a change in force, after the time from which it counts. */
export interface Delay {
  router: string;
  delayMs: number;
}

interface Connection {
  isSilent: boolean;
  /** Undefined while a call is in progress. */
  idleSinceMs: number | undefined;
}

type Router = ReturnType<typeof createRouter>;
type Fleet = ReturnType<typeof createStore>;
type Network = ReturnType<typeof createVirtualNetwork>;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function createStore(clock: () => number) {
  const store = { revision: 10, historyFrom: 0, calls: 0 };
  const changes: { of: StoreKind; revision: number; atMs: number }[] = [];
  return {
    clock,
    store,
    changes,
    change(of: StoreKind): void {
      store.revision += 1;
      changes.push({ of, revision: store.revision, atMs: clock() });
    },
    after: (of: StoreKind, revision: number) =>
      changes.filter((change) => change.of === of && change.revision > revision),
  };
}

/** Client of one router, which keeps connections as the transport does. */
function createClient({ clock, store, after }: Fleet, latencyMs: number) {
  const connections = new Set<Connection>();

  function connect(): Connection {
    connections.forEach((known) => {
      const { idleSinceMs } = known;
      if (idleSinceMs !== undefined && clock() - idleSinceMs > MAX_IDLE_MS)
        connections.delete(known);
    });
    const idle = [...connections].find(({ idleSinceMs }) => idleSinceMs !== undefined);
    const connection = idle ?? { isSilent: false, idleSinceMs: undefined };
    connections.add(connection);
    return connection;
  }

  async function call<TValue>(
    waitMs: number,
    timeoutMs: number,
    answer: (isDue: boolean) => StoreResult<TValue> | undefined,
    signal?: AbortSignal,
  ): Promise<StoreResult<TValue>> {
    const deadlineMs = clock() + waitMs + timeoutMs;
    const known = connections.size;
    const connection = connect();
    connection.idleSinceMs = undefined;
    store.calls += 1;
    await sleep(latencyMs * (connections.size > known ? 3 : 1) + STORE_MS);
    const dueAtMs = clock() + waitMs;
    while (clock() < deadlineMs && signal?.aborted !== true) {
      const result = connection.isSilent ? undefined : answer(clock() >= dueAtMs);
      if (result !== undefined) {
        await sleep(latencyMs);
        if (!connection.isSilent) {
          connection.idleSinceMs = clock();
          return result;
        }
      }
      await sleep(STEP_MS);
    }
    connections.delete(connection);
    connections.forEach((other) => {
      if (other.idleSinceMs !== undefined) connections.delete(other);
    });
    return { ok: false, failure: StoreFailure.NoResponse, detail: 'response timeout' };
  }

  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    listPage: (_kind, _cursor, timeoutMs) =>
      call(0, timeoutMs, () => {
        const position = { era: undefined, revision: store.revision };
        const objects = [{ name: 'x', revision: store.revision, spec: {} }];
        const value = { objects, unreadable: [], nextCursor: undefined, position };
        return { ok: true, value };
      }),
    watch: (kind, { revision: from }, waitMs, timeoutMs, _mode, signal) =>
      call(
        waitMs,
        timeoutMs,
        (isDue) => {
          if (from < store.historyFrom)
            return { ok: false, failure: StoreFailure.HistoryGone, detail: 'gone' };
          const changes = after(kind, from).map(({ revision }) => ({
            object: { name: 'x', revision, spec: {} },
            removed: false,
          }));
          if (changes.length === 0 && !isDue) return undefined;
          const position = { era: undefined, revision: store.revision };
          return { ok: true, value: { changes, unreadable: [], position } };
        },
        signal,
      ),
  };
  return { client, connections };
}

function createRouter(fleet: Fleet, network: Network, index: number, boundMs: number) {
  const { clock } = fleet;
  const name = `r${index}`;
  const info = { name, address: `${name}:1`, zone: `z${index % 6}`, cores: 1 };
  const { client, connections } = createClient(fleet, LATENCIES_MS[index % 3]!);
  const news = createStoreNews();
  const blocks = createCrashBlocks();
  const exchange = createReportExchange({
    router: name,
    storeNews: news,
    blocks,
    serverLimits: createServerLimits(() => 0),
  });
  const codec = createReportCodec();
  const sender = createReportSender({
    exchange,
    clock,
    encode: codec.encode,
    onSent: () => undefined,
  });
  const links: { groups: GroupLinks | undefined } = { groups: undefined };
  const timing = planChangeTiming(boundMs);
  const logger = createRecordingLogger();
  const followed = createFollowedNews({
    news,
    clock,
    logger,
    maxNewsAgeMs: timing.maxNewsAgeMs,
    isWatching: () => links.groups?.watchesStore() === true,
    announce(kind) {
      exchange.announceStoreNews(kind);
      sender.flush();
    },
  });
  const applied = new Map<StoreKind, [revision: number, atMs: number][]>(
    KINDS.map((kind) => [kind, []]),
  );
  const listen = (kind: LinkKind) =>
    createExchangeListener(
      {
        clock,
        logger,
        exchange,
        sender,
        codec,
        onReport: (report) => followed.wake(report.storeNews.map((entry) => entry.kind)),
        onPeerLost: () => undefined,
      },
      kind,
      kind !== LinkKind.OtherHubIn,
    );
  let linkCount = 0;
  const nextLinkNumber = (): number => {
    linkCount += 1;
    return linkCount;
  };
  const groups = createGroupLinks(
    { dial: network.dial, clock, logger, self: name, nextLinkNumber },
    listen(LinkKind.Hub),
    listen(LinkKind.OtherHubOut),
  );
  links.groups = groups;
  const acceptor = network.listen(
    info.address,
    (role) => role === LinkRole.Member || groups.isHub(),
    {
      [LinkRole.Member]: listen(LinkKind.Member),
      [LinkRole.Hub]: listen(LinkKind.OtherHubIn),
    },
  );
  const feeds = KINDS.map((kind) => {
    const apply = (revision: number) => applied.get(kind)!.push([revision, clock()]);
    return createObjectFeed(
      createFeedOptions(client, {
        kind,
        clock,
        timing,
        news: followed,
        random: () => 1,
        onChanged: ({ object }) => apply(object.revision),
        onListed: (objects) => objects.forEach(({ revision }) => apply(revision)),
      }),
    );
  });
  const state = { isOff: false };
  return {
    info,
    connections,
    groups,
    applied,
    isOff: () => state.isOff,
    checkLinks() {
      if (state.isOff) return;
      acceptor.check();
      groups.check();
    },
    losePower() {
      state.isOff = true;
      network.losePower(name, info.address);
      connections.forEach((connection) => {
        connection.isSilent = true;
      });
    },
    close() {
      groups.close();
      feeds.forEach((feed) => feed.close());
      sender.close();
      followed.wake(KINDS);
    },
  };
}

/** Whether an incident hits the thing of this number. */
const isHit = (number: number, share: number, salt: number): boolean =>
  ((number + 1) * 7919 + salt * 104_729) % 1000 < share * 1000;

/** Result of one series. */
export interface Outcome {
  delays: Delay[];
  /** Changes that weren't in force at the end, or were followed by an earlier one. */
  failures: string[];
  /** Calls to the store in the time before the first incident. */
  calmCalls: number;
}

/**
 * Plays a series. A change counts from its acknowledgement, or from the last silence that began before it was in force: a router that
 * is about to notice one silence may be hit by the next.
 */
export async function playSeries(
  timers: MockTimers,
  { routers: count, boundMs, calmMs }: { routers: number; boundMs: number; calmMs: number },
  incidents: readonly Incident[],
): Promise<Outcome> {
  timers.enable({ apis: ['setTimeout'] });
  let nowMs = 1000;
  const clock = (): number => nowMs;
  async function advance(ms: number): Promise<void> {
    for (const endMs = nowMs + ms; nowMs < endMs;) {
      nowMs += STEP_MS;
      timers.tick(STEP_MS);
      await nextIteration();
    }
  }
  const fleet = createStore(clock);
  const latencyOf = (name: string): number => LATENCIES_MS[Number(name.slice(1)) % 3]!;
  const network = createVirtualNetwork(clock, (a, b) => Math.max(latencyOf(a), latencyOf(b)));
  const routers = Array.from({ length: count }, (_item, index) =>
    createRouter(fleet, network, index, boundMs),
  );
  const hasher = await createHasher();
  const infos = routers.map(({ info }) => info);
  routers.forEach(({ info, groups }) => groups.setPlan(planExchange(hasher, info.name, infos)));
  const silences: number[] = [];
  const run: { [K in Incident['kind']]: (incident: Extract<Incident, { kind: K }>) => void } = {
    change: ({ of }) => fleet.change(of),
    'history-gone': () => {
      fleet.store.historyFrom = fleet.store.revision;
    },
    'silent-store': ({ share, salt }) => {
      silences.push(clock());
      routers.forEach(({ connections }, index) =>
        [...connections].forEach((connection, number) => {
          if (isHit(index * 5 + number, share, salt)) connection.isSilent = true;
        }),
      );
    },
    'silent-links': ({ share, salt }) => {
      silences.push(clock());
      network.connections().forEach((connection, number) => {
        if (isHit(number, share, salt)) connection.isSilent = true;
      });
    },
    'power-lost': ({ share, salt }) => {
      silences.push(clock());
      routers.forEach((router, index) => {
        // At least half of the fleet stays.
        if (isHit(index, share / 2, salt)) router.losePower();
      });
    },
  };
  await advance(2000);
  const callsBefore = fleet.store.calls;
  let checkedAtMs = nowMs;
  async function advanceTo(atMs: number): Promise<void> {
    while (nowMs < atMs) {
      await advance(Math.min(LIVENESS_CHECK_PERIOD_MS - (nowMs - checkedAtMs), atMs - nowMs));
      if (nowMs - checkedAtMs >= LIVENESS_CHECK_PERIOD_MS) {
        checkedAtMs = nowMs;
        routers.forEach((router) => router.checkLinks());
      }
    }
  }
  const startMs = nowMs;
  await advanceTo(startMs + calmMs);
  const calmCalls = fleet.store.calls - callsBefore;
  for (const incident of [...incidents].sort((a, b) => a.atMs - b.atMs)) {
    await advanceTo(startMs + calmMs + incident.atMs);
    run[incident.kind](incident as never);
  }
  await advanceTo(nowMs + boundMs * 2);
  routers.forEach((router) => router.close());
  await advance(20_000);
  timers.reset();
  return { ...judge(routers, fleet, silences), calmCalls };
}

function judge(routers: readonly Router[], fleet: Fleet, silences: readonly number[]) {
  const delays: Delay[] = [];
  const failures: string[] = [];
  routers.forEach(({ info: { name }, applied, isOff }) => {
    if (isOff()) return;
    fleet.changes.forEach(({ of, revision, atMs }) => {
      const inForce = applied.get(of)!.find(([reached]) => reached >= revision);
      if (inForce === undefined) {
        failures.push(`${name}: ${of} ${revision} never came into force`);
        return;
      }
      const countsFromMs = Math.max(
        atMs,
        ...silences.filter((silentAtMs) => silentAtMs < inForce[1]),
      );
      delays.push({ router: name, delayMs: inForce[1] - countsFromMs });
    });
    applied.forEach((reached, kind) =>
      reached.forEach(([revision], index) => {
        if (index > 0 && revision < reached[index - 1]![0])
          failures.push(`${name}: ${kind} reverts`);
      }),
    );
  });
  return { delays, failures };
}
