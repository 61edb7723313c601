/**
 * Measures the object service calls and link messages of the configuration reducer for several numbers of nodes. All nodes run in this process on
 * a virtual clock. The object service responds without delay; a watch completes on a change or at its timeout.
 * Run: node --import tsx packages/core/test/measure/config-calls.ts
 */
import {
  applyAcceptedPatch,
  createConfigReducer,
  createConfigState,
  createHasher,
} from '../../src/index.js';
import type {
  AcceptedPatch,
  ConfigEffect,
  ConfigEvent,
  ConfigState,
  FleetConfig,
  Role,
} from '../../src/index.js';

const ZONES = 3;
const LINKS_PER_SIDECAR = 3;
const LINKS_PER_ROUTER = 4;
const MINUTES = 20;
const TICK_MS = 500;
/** Equals 30,000 changes per day. */
const CHANGE_PERIOD_MS = 2_880;
const LINK_DELAY_MS = 2;

interface Node {
  state: ConfigState;
  links: number[];
  /** Pending watch for changes after `version`, which times out at `untilMs`. */
  watch?: { version: number; untilMs: number };
}

interface Delivery {
  atMs: number;
  to: number;
  event: ConfigEvent;
}

const hasher = await createHasher();
const reduce = createConfigReducer(hasher);

const simulate = (routers: number, sidecars: number) => {
  const account = { share: 1, services: [], keyHashes: [] };
  let newest: FleetConfig = {
    version: 1,
    accounts: { a: account },
    services: {},
    backends: {},
    operators: {},
    appliedPatches: [],
  };
  const log: AcceptedPatch[] = [];
  const calls = { load: 0, read: 0, watch: 0, entries: 0 };
  let messages = 0;
  let messageBytes = 0;
  let nowMs = 0;
  let deliveries: Delivery[] = [];
  let maxDelayMs = 0;
  const acceptedAtMs = new Map<number, number>();

  const create = (index: number): Node => {
    const role: Role = index < routers ? 'router' : 'sidecar';
    const self = { id: `n${index}`, role, seed: 11 };
    return { state: createConfigState(self, 0), links: [] };
  };
  const nodes = Array.from({ length: routers + sidecars }, (_, index) => create(index));

  const send = (to: number, event: ConfigEvent): void => {
    deliveries.push({ atMs: nowMs + LINK_DELAY_MS, to, event });
  };

  const sendPatches = (index: number, version: number): void => {
    const patches = log.filter((entry) => entry.version > version);
    calls.entries += patches.length;
    send(index, { kind: 'patches-loaded', nowMs: 0, patches });
  };

  const poll = (index: number, effect: Extract<ConfigEffect, { kind: 'poll-store' }>): void => {
    calls[effect.mode] += 1;
    if (effect.mode === 'load') send(index, { kind: 'config-loaded', nowMs: 0, config: newest });
    else if (effect.mode === 'read' || newest.version > effect.version) {
      sendPatches(index, effect.version);
    } else nodes[index]!.watch = { version: effect.version, untilMs: nowMs + effect.timeoutMs };
  };

  const perform = (index: number, effect: ConfigEffect): void => {
    if (effect.kind === 'poll-store') poll(index, effect);
    else if (effect.kind === 'config-in-force') {
      const acceptedMs = acceptedAtMs.get(effect.config.version);
      if (acceptedMs !== undefined) maxDelayMs = Math.max(maxDelayMs, nowMs - acceptedMs);
    } else {
      messages += 1;
      messageBytes += JSON.stringify(effect.message).length;
      send(Number(effect.link), {
        kind: 'message',
        nowMs: 0,
        link: String(index),
        message: effect.message,
      });
    }
  };

  const feed = (index: number, event: ConfigEvent): void => {
    const { effects } = reduce(nodes[index]!.state, { ...event, nowMs });
    effects.forEach((effect) => perform(index, effect));
  };

  const connect = (a: number, b: number): void => {
    if (a === b || nodes[a]!.links.includes(b)) return;
    nodes[a]!.links.push(b);
    nodes[b]!.links.push(a);
    feed(a, { kind: 'link-opened', nowMs, link: String(b), version: 0 });
    feed(b, { kind: 'link-opened', nowMs, link: String(a), version: 0 });
  };

  const start = (): void => {
    for (let index = 0; index < routers; index += 1) {
      for (let hop = 1; hop <= LINKS_PER_ROUTER / 2; hop += 1)
        connect(index, (index + hop ** 2) % routers);
    }
    for (let index = routers; index < nodes.length; index += 1) {
      for (let link = 0; link < LINKS_PER_SIDECAR; link += 1)
        connect(index, (index * 7 + link * 3) % routers);
    }
    nodes.slice(0, routers).forEach((_, index) => {
      const zone = Array.from({ length: routers }, (__, other) => other).filter(
        (other) => other % ZONES === index % ZONES,
      );
      const routersOfZone = zone.map((other) => `n${other}`);
      feed(index, { kind: 'routers-changed', nowMs, routersOfZone, routersInFleet: routers });
    });
  };

  const commit = (): void => {
    const version = newest.version + 1;
    const patch = { accounts: { a: { share: version } } };
    const outcome = applyAcceptedPatch(newest, { version, patch });
    if (!outcome.ok) throw new Error('the patch does not apply');
    newest = outcome.config;
    log.push({ version, patch });
    acceptedAtMs.set(version, nowMs);
  };

  const completeWatches = (): void =>
    nodes.forEach((node, index) => {
      const { watch } = node;
      if (watch === undefined || (newest.version <= watch.version && nowMs < watch.untilMs)) return;
      node.watch = undefined;
      sendPatches(index, watch.version);
    });

  const advance = (): void => {
    const due = deliveries.filter(({ atMs }) => atMs <= nowMs);
    deliveries = deliveries.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ to, event }) => feed(to, event));
    if (nowMs % CHANGE_PERIOD_MS === 0) commit();
    completeWatches();
    nodes.forEach((_, index) => {
      if ((nowMs + index * LINK_DELAY_MS) % TICK_MS === 0) feed(index, { kind: 'tick', nowMs });
    });
  };

  const WARM_UP_MS = 60_000;
  start();
  const totalMs = WARM_UP_MS + MINUTES * 60_000;
  for (; nowMs < totalMs; nowMs += LINK_DELAY_MS) {
    advance();
    if (nowMs !== WARM_UP_MS) continue;
    Object.assign(calls, { load: 0, read: 0, watch: 0, entries: 0 });
    messages = 0;
    messageBytes = 0;
  }
  const seconds = MINUTES * 60;
  const perSecond = (count: number) => Number((count / seconds).toFixed(2));
  return {
    routers,
    sidecars,
    watchers: nodes.filter(({ state }) => state.isWatcher).length,
    changesPerSecond: perSecond((MINUTES * 60_000) / CHANGE_PERIOD_MS),
    callsPerSecond: {
      watch: perSecond(calls.watch),
      read: perSecond(calls.read),
      entries: perSecond(calls.entries),
      load: perSecond(calls.load),
    },
    messageBytesPerNodePerSecond: Number((messageBytes / seconds / nodes.length).toFixed(1)),
    messagesPerNodePerSecond: Number((messages / seconds / nodes.length).toFixed(2)),
    worstInForceMs: maxDelayMs,
    behind: nodes.filter(({ state }) => state.config.version < newest.version - 1).length,
  };
};

for (const [routers, sidecars] of [
  [6, 24],
  [24, 96],
  [96, 384],
] as const) {
  process.stdout.write(`${JSON.stringify(simulate(routers, sidecars))}\n`);
}
