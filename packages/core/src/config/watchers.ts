/** Which processes call the object service for the configuration, and how often. */
import { exponentialBackoffMs } from '../backoff/index.js';
import { rendezvousOrder } from '../hash/index.js';
import type { Hasher } from '../hash/index.js';
import { Role } from '../protocol/index.js';
import type { ConfigState } from './distribution-types.js';

/** Routers of a zone that watch the object service; the others hear of changes over links. */
export const WATCHERS_PER_ZONE = 2;

/** Time between two reads of a process that does not watch. */
export const SLOW_POLL_INTERVAL_MS = 30_000;

/** All slow reads of the routers together, per second; in larger fleets each router reads less often. */
export const MAX_FLEET_SLOW_POLLS_PER_SECOND = 5;

const RETRY = { initialMs: 500, maxMs: 10_000 };
/** Share of a delay by which it may be shortened or lengthened. */
const JITTER = 0.2;

const RENDEZVOUS_KEY = 'config-watchers';

/** Whether the router watches, given the live routers of its zone, itself included. */
export const isWatcher = (
  hasher: Hasher,
  self: string,
  routersOfZone: readonly string[],
): boolean =>
  rendezvousOrder(hasher, RENDEZVOUS_KEY, routersOfZone).slice(0, WATCHERS_PER_ZONE).includes(self);

const jittered = (hasher: Hasher, state: ConfigState, delayMs: number): number => {
  const hash = hasher.hash32(`${state.self.id}/${state.store.made}`, state.self.seed);
  const fraction = hash / 0x1_0000_0000;
  return delayMs * (1 + JITTER * (2 * fraction - 1));
};

const retryDelayMs = (failures: number): number => exponentialBackoffMs(failures - 1, RETRY);

const slowPollMs = (state: ConfigState): number =>
  Math.max(SLOW_POLL_INTERVAL_MS, (state.routersInFleet / MAX_FLEET_SLOW_POLLS_PER_SECOND) * 1000);

/** Delay from the end of one call to the object service to the next. */
export const nextPollDelayMs = (hasher: Hasher, state: ConfigState): number => {
  const { store } = state;
  if (store.failures > 0) return jittered(hasher, state, retryDelayMs(store.failures));
  if (store.reload || state.isWatcher) return 0;
  return jittered(hasher, state, slowPollMs(state));
};

/** Whether a call that is due is made: a sidecar with a link leaves the object service to its routers. */
export const shouldPollStore = (state: ConfigState): boolean =>
  state.self.role === Role.Router || state.peers.size === 0 || state.store.reload;
