/**
 * Reducer that keeps the configuration of one process up to date: from the object service where the process watches or polls it, and from its
 * peers over links. The version in force only grows. Each newer patch is passed on once to the peers that lack it; versions are compared when a
 * link opens and from time to time, and the one that is behind asks for what it misses.
 */
import type { Hasher } from '../hash/index.js';
import type { Reducer, ReducerResult } from '../reducer/index.js';
import type {
  ConfigEffect,
  ConfigEvent,
  ConfigMessage,
  ConfigProcessIdentity,
  ConfigState,
  ConfigStatus,
} from './distribution-types.js';
import { StorePollMode } from './distribution-types.js';
import { applyAcceptedPatch } from './patch.js';
import type { AcceptedPatch, FleetConfig } from './types.js';
import { EMPTY_CONFIG } from './types.js';
import { validateConfig } from './validate.js';
import { isWatcher, shouldPollStore, nextPollDelayMs } from './watchers.js';

/** Patches that a process keeps for peers that are behind. */
export const MAX_RECENT_PATCHES = 64;
/** How long the object service holds a watch without a change. */
export const WATCH_TIMEOUT_MS = 25_000;
/** Time between two comparisons of versions with a peer; peers take turns. */
export const VERSION_EXCHANGE_PERIOD_MS = 5_000;
/** Time after which an unanswered request to a peer is made again, of any peer. */
export const CONFIG_REQUEST_TIMEOUT_MS = 1_000;

interface Context {
  hasher: Hasher;
  state: ConfigState;
  effects: ConfigEffect[];
  nowMs: number;
}

type EventOf<K extends ConfigEvent['kind']> = Extract<ConfigEvent, { kind: K }>;
type MessageOf<K extends ConfigMessage['kind']> = Extract<ConfigMessage, { kind: K }>;

const send = (ctx: Context, link: string, message: ConfigMessage): void => {
  ctx.effects.push({ kind: 'send', link, message });
};

const sendVersion = (ctx: Context, link: string): void =>
  send(ctx, link, { kind: 'config-version', version: ctx.state.config.version });

const hearOf = (ctx: Context, version: number): void => {
  const { state } = ctx;
  state.newestVersion = Math.max(state.newestVersion, version);
  if (state.newestVersion <= state.config.version) state.behindSinceMs = undefined;
  else state.behindSinceMs ??= ctx.nowMs;
};

/** Notes a version that the peer has. */
const notePeer = (ctx: Context, link: string, version: number): void => {
  const peer = ctx.state.peers.get(link);
  if (peer !== undefined) peer.version = Math.max(peer.version, version);
  hearOf(ctx, version);
};

const putInForce = (ctx: Context, config: FleetConfig): void => {
  const { state } = ctx;
  state.config = config;
  state.inForceSinceMs = ctx.nowMs;
  state.pendingRequest = undefined;
  hearOf(ctx, config.version);
  ctx.effects.push({ kind: 'config-in-force', config });
};

/** Sends to every peer that is not known to have the version in force, and counts it as told. */
const tellPeers = (ctx: Context, message: ConfigMessage): void => {
  const { version } = ctx.state.config;
  ctx.state.peers.forEach((peer, link) => {
    if (peer.version >= version) return;
    peer.version = version;
    send(ctx, link, message);
  });
};

/** Applies the patch that follows the version in force; false when it does not apply. */
const adoptPatch = (ctx: Context, accepted: AcceptedPatch): boolean => {
  const { state } = ctx;
  const outcome = applyAcceptedPatch(state.config, accepted);
  if (!outcome.ok) return false;
  state.recentPatches = [...state.recentPatches, accepted].slice(-MAX_RECENT_PATCHES);
  putInForce(ctx, outcome.config);
  tellPeers(ctx, { kind: 'config-patch', version: accepted.version, patch: accepted.patch });
  return true;
};

/** Takes a whole configuration if it is newer than the one in force. */
const adoptConfig = (ctx: Context, candidate: unknown): void => {
  const outcome = validateConfig(candidate);
  if (!outcome.ok || outcome.config.version <= ctx.state.config.version) return;
  ctx.state.recentPatches = [];
  putInForce(ctx, outcome.config);
  tellPeers(ctx, { kind: 'config-version', version: outcome.config.version });
};

/** Asks the peer for what is missing, unless a request is under way. */
const requestFrom = (ctx: Context, link: string): void => {
  const { state, nowMs } = ctx;
  if (state.pendingRequest !== undefined && nowMs < state.pendingRequest.expiresAtMs) return;
  state.pendingRequest = { link, expiresAtMs: nowMs + CONFIG_REQUEST_TIMEOUT_MS };
  send(ctx, link, { kind: 'config-request', version: state.config.version });
};

/** Asks a peer with the highest version, if any has a newer one. */
const requestFromNewest = (ctx: Context): void => {
  const { state } = ctx;
  let newest: string | undefined;
  let { version } = state.config;
  state.peers.forEach((peer, link) => {
    if (peer.version <= version) return;
    newest = link;
    version = peer.version;
  });
  if (newest !== undefined) requestFrom(ctx, newest);
};

/** A process that has not read the configuration yet, or fell out of step, takes the whole. */
const choosePollMode = ({ store, config, isWatcher: watches }: ConfigState): StorePollMode => {
  const first = config.version === 0 && store.succeededAtMs === undefined;
  if (store.reload || first) return StorePollMode.Load;
  return watches ? StorePollMode.Watch : StorePollMode.Read;
};

const pollStore = (ctx: Context): void => {
  const { state, nowMs } = ctx;
  const { store } = state;
  if (store.inFlight || nowMs < store.nextAtMs || !shouldPollStore(state)) return;
  store.inFlight = true;
  store.made += 1;
  const { version } = state.config;
  const mode = choosePollMode(state);
  const timeoutMs = mode === StorePollMode.Watch ? WATCH_TIMEOUT_MS : 0;
  ctx.effects.push({ kind: 'poll-store', mode, version, timeoutMs });
};

const storeAnswered = (ctx: Context, ok: boolean): void => {
  const { store } = ctx.state;
  store.inFlight = false;
  store.failures = ok ? 0 : store.failures + 1;
  if (ok) store.succeededAtMs = ctx.nowMs;
  store.nextAtMs = ctx.nowMs + nextPollDelayMs(ctx.hasher, ctx.state);
  pollStore(ctx);
};

const answerRequest = (ctx: Context, link: string, version: number): void => {
  const { state } = ctx;
  const missing = state.config.version - version;
  if (missing <= 0) {
    sendVersion(ctx, link);
    return;
  }
  const peer = state.peers.get(link);
  if (peer !== undefined) peer.version = state.config.version;
  if (missing > state.recentPatches.length) {
    send(ctx, link, { kind: 'config-full', config: state.config });
    return;
  }
  state.recentPatches.slice(-missing).forEach((recent) => {
    send(ctx, link, { kind: 'config-patch', version: recent.version, patch: recent.patch });
  });
};

const receivePatch = (ctx: Context, link: string, message: MessageOf<'config-patch'>): void => {
  const { state } = ctx;
  const { version, patch } = message;
  notePeer(ctx, link, version);
  if (version <= state.config.version) return;
  if (version > state.config.version + 1) {
    requestFrom(ctx, link);
    return;
  }
  if (adoptPatch(ctx, { version, patch })) return;
  state.store.reload = true;
  state.store.nextAtMs = ctx.nowMs;
  pollStore(ctx);
};

const messageHandlers: {
  [K in ConfigMessage['kind']]: (ctx: Context, link: string, message: MessageOf<K>) => void;
} = {
  'config-version': (ctx, link, { version }) => {
    notePeer(ctx, link, version);
    if (version > ctx.state.config.version) requestFrom(ctx, link);
    else if (ctx.state.pendingRequest?.link === link) ctx.state.pendingRequest = undefined;
  },
  'config-patch': receivePatch,
  'config-full': (ctx, link, { config }) => {
    adoptConfig(ctx, config);
    notePeer(ctx, link, ctx.state.config.version);
  },
  'config-request': (ctx, link, { version }) => {
    notePeer(ctx, link, version);
    answerRequest(ctx, link, version);
    if (version > ctx.state.config.version) requestFrom(ctx, link);
  },
};

const receive = <K extends ConfigMessage['kind']>(
  ctx: Context,
  link: string,
  message: MessageOf<K>,
): void => messageHandlers[message.kind](ctx, link, message);

const exchange = (ctx: Context): void => {
  const { state, nowMs } = ctx;
  if (nowMs < state.nextExchangeAtMs) return;
  state.nextExchangeAtMs = nowMs + VERSION_EXCHANGE_PERIOD_MS;
  const links = [...state.peers.keys()];
  const link = links[state.exchanges % links.length];
  state.exchanges += 1;
  if (link !== undefined) sendVersion(ctx, link);
};

const eventHandlers: {
  [K in ConfigEvent['kind']]: (ctx: Context, event: EventOf<K>) => void;
} = {
  'routers-changed': (ctx, { routersOfZone, routersInFleet }) => {
    const { state, hasher } = ctx;
    const wasWatcher = state.isWatcher;
    state.isWatcher = isWatcher(hasher, state.self.id, routersOfZone);
    state.routersInFleet = routersInFleet;
    if (state.isWatcher && !wasWatcher && state.store.failures === 0) {
      state.store.nextAtMs = ctx.nowMs;
    }
    pollStore(ctx);
  },
  'link-opened': (ctx, { link, version }) => {
    ctx.state.peers.set(link, { version });
    hearOf(ctx, version);
    // The hello may have been sent before the newest version came into force.
    sendVersion(ctx, link);
    if (version > ctx.state.config.version) requestFrom(ctx, link);
  },
  'link-closed': (ctx, { link }) => {
    const { state } = ctx;
    state.peers.delete(link);
    if (state.pendingRequest?.link === link) state.pendingRequest = undefined;
    requestFromNewest(ctx);
  },
  message: (ctx, { link, message }) => receive(ctx, link, message),
  'config-loaded': (ctx, { config }) => {
    adoptConfig(ctx, config);
    ctx.state.store.reload = false;
    storeAnswered(ctx, true);
  },
  'patches-loaded': (ctx, { patches }) => {
    const missing = patches.filter(({ version }) => version > ctx.state.config.version);
    const applied = missing.every((patch) => adoptPatch(ctx, patch));
    if (!applied) ctx.state.store.reload = true;
    storeAnswered(ctx, true);
  },
  'store-failed': (ctx) => storeAnswered(ctx, false),
  tick: (ctx) => {
    pollStore(ctx);
    exchange(ctx);
    requestFromNewest(ctx);
  },
};

const handle = <K extends ConfigEvent['kind']>(ctx: Context, event: EventOf<K>): void =>
  eventHandlers[event.kind](ctx, event);

/** State of a process that has no configuration yet. */
export const createConfigState = (self: ConfigProcessIdentity, nowMs: number): ConfigState => ({
  self,
  config: EMPTY_CONFIG,
  inForceSinceMs: nowMs,
  recentPatches: [],
  newestVersion: 0,
  peers: new Map(),
  isWatcher: false,
  routersInFleet: 1,
  store: { inFlight: false, nextAtMs: nowMs, failures: 0, made: 0, reload: false },
  nextExchangeAtMs: nowMs + VERSION_EXCHANGE_PERIOD_MS,
  exchanges: 0,
});

/** Creates the reducer. */
export const createConfigReducer =
  (hasher: Hasher): Reducer<ConfigState, ConfigEvent, ConfigEffect> =>
  (state, event): ReducerResult<ConfigState, ConfigEffect> => {
    const ctx: Context = { hasher, state, effects: [], nowMs: event.nowMs };
    handle(ctx, event);
    return { state, effects: ctx.effects };
  };

/** Summary of the state for operators. */
export const getConfigStatus = (state: ConfigState, nowMs: number): ConfigStatus => ({
  version: state.config.version,
  inForceForMs: nowMs - state.inForceSinceMs,
  newestVersion: state.newestVersion,
  behindForMs: state.behindSinceMs === undefined ? 0 : nowMs - state.behindSinceMs,
  isWatcher: state.isWatcher,
  storeAnsweredAgoMs:
    state.store.succeededAtMs === undefined ? undefined : nowMs - state.store.succeededAtMs,
});
