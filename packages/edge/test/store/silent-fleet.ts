/**
 * Fleet of routers under virtual time: the real feeds, news, topology, and exchange and pacing of reports, over a store and links whose
 * open connections go silent for good while new ones work. Links are dialled again to the same hub; another hub isn't tried.
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
import { LINK_TIMEOUT_MS, LIVENESS_CHECK_PERIOD_MS } from '../../src/peers/types.js';
import type { OpenLink } from '../../src/peers/types.js';
import { MAX_IDLE_MS, planChangeTiming } from '../../src/store/change-timing.js';
import { createFollowedNews } from '../../src/store/followed-news.js';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createFeedOptions } from '../standins/feed-options.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

export const KINDS = [StoreKind.Configuration, StoreKind.Servers];
/** One-way delays in the own zone, to the other zones and to other regions. */
const LATENCIES_MS = [1, 5, 17];
const STORE_MS = 4;
const STEP_MS = 10;

/** What happens to a share of the routers, at a time in milliseconds. */
export type Incident = { atMs: number } & (
  | { kind: 'change'; of: StoreKind }
  | { kind: 'silent-store' | 'silent-links'; share: number; salt: number }
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

interface Link {
  ends: [Router, Router];
  kinds: [LinkKind, LinkKind];
  isSilent: boolean;
  lastTrafficMs: number;
  open: OpenLink[];
}

type Router = ReturnType<typeof createRouter>;
type Fleet = ReturnType<typeof createStore>;

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
        const value = { objects, unreadable: [], nextCursor: undefined, size: 2, position };
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

function createRouter(fleet: Fleet, index: number, boundMs: number) {
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
  const role = { isWatching: false };
  const timing = planChangeTiming(boundMs);
  const logger = createRecordingLogger();
  const followed = createFollowedNews({
    news,
    clock,
    logger,
    maxNewsAgeMs: timing.maxNewsAgeMs,
    isWatching: () => role.isWatching,
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
  const listeners = new Map(Object.values(LinkKind).map((kind) => [kind, listen(kind)]));
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
  return {
    info,
    connections,
    role,
    listeners,
    applied,
    close() {
      feeds.forEach((feed) => feed.close());
      sender.close();
      followed.wake(KINDS);
    },
  };
}

function createLinks(clock: () => number) {
  const links: Link[] = [];
  let count = 0;

  function open(link: Link): void {
    link.isSilent = false;
    link.lastTrafficMs = clock();
    const latencyMs = Math.max(
      ...link.ends.map(({ info }) => LATENCIES_MS[Number(info.name.slice(1)) % 3]!),
    );
    count += 1;
    link.open = link.ends.map((_end, side) => ({
      key: `${side}#${count}`,
      send(bytes) {
        const target = link.open[1 - side]!;
        setTimeout(() => {
          if (link.isSilent || link.open[1 - side] !== target) return;
          link.lastTrafficMs = clock();
          link.ends[1 - side]!.listeners.get(link.kinds[1 - side]!)!.onMessage(target, bytes);
        }, latencyMs);
        return true;
      },
      close: () => undefined,
    }));
    link.ends.forEach((end, side) =>
      end.listeners.get(link.kinds[side]!)!.onOpen(link.open[side]!),
    );
  }

  function check(link: Link): void {
    if (!link.isSilent) link.lastTrafficMs = clock();
    else if (clock() - link.lastTrafficMs > LINK_TIMEOUT_MS) {
      link.ends.forEach((end, side) =>
        end.listeners.get(link.kinds[side]!)!.onClosed(link.open[side]!),
      );
      open(link);
    }
  }

  return {
    all: links,
    connect(from: Router, to: Router, kinds: [LinkKind, LinkKind]): void {
      const link: Link = { ends: [from, to], kinds, isSilent: false, lastTrafficMs: 0, open: [] };
      links.push(link);
      open(link);
    },
    check: () => links.forEach(check),
  };
}

async function connectFleet(
  routers: readonly Router[],
  links: ReturnType<typeof createLinks>,
): Promise<void> {
  const hasher = await createHasher();
  const infos = routers.map(({ info }) => info);
  const byName = new Map(routers.map((router) => [router.info.name, router]));
  routers.forEach((router) => {
    const plan = planExchange(hasher, router.info.name, infos);
    const [hub] = plan.hubCandidates;
    router.role.isWatching = plan.watchesStore && hub === undefined;
    if (hub !== undefined) {
      links.connect(router, byName.get(hub.name)!, [LinkKind.Hub, LinkKind.Member]);
      return;
    }
    plan.otherGroups.forEach(([other]) => {
      links.connect(router, byName.get(other!.name)!, [LinkKind.OtherHubOut, LinkKind.OtherHubIn]);
    });
  });
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
  const routers = Array.from({ length: count }, (_item, index) =>
    createRouter(fleet, index, boundMs),
  );
  const links = createLinks(clock);
  await advance(100);
  await connectFleet(routers, links);
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
      links.all.forEach((link, number) => {
        if (isHit(number, share, salt)) link.isSilent = true;
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
        links.check();
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
  routers.forEach(({ info: { name }, applied }) => {
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
