/** Selection of the processes that poll or watch the object service for the configuration, and the poll intervals. */
import { exponentialBackoffMs } from '../backoff/index.js';
import { rendezvousOrder } from '../hash/index.js';
import type { Hasher } from '../hash/index.js';
import { Role } from '../protocol/index.js';
import type { ConfigState } from './distribution-types.js';

/** Number of routers per zone that watch the object service; the other routers receive changes over links. */
export const WATCHERS_PER_ZONE = 2;

/** Base interval between two reads of a process that does not watch, before jitter. */
export const SLOW_POLL_INTERVAL_MS = 30_000;

/** Maximum rate of slow reads of all routers together; in larger fleets each router reads less often. */
export const MAX_FLEET_SLOW_POLLS_PER_SECOND = 5;

const RETRY_BACKOFF = { initialMs: 500, maxMs: 10_000 };
/** Maximum relative deviation of a delay in either direction. */
const JITTER_FRACTION = 0.2;

const RENDEZVOUS_KEY = 'config-watchers';

/** Returns whether the router watches the object service; `routersOfZone` includes the router itself. */
export const isWatcher = (
  hasher: Hasher,
  self: string,
  routersOfZone: readonly string[],
): boolean =>
  rendezvousOrder(hasher, RENDEZVOUS_KEY, routersOfZone).slice(0, WATCHERS_PER_ZONE).includes(self);

const applyJitter = (hasher: Hasher, state: ConfigState, delayMs: number): number => {
  const hash = hasher.hash32(`${state.self.id}/${state.store.made}`, state.self.seed);
  const fraction = hash / 0x1_0000_0000;
  return delayMs * (1 + JITTER_FRACTION * (2 * fraction - 1));
};

const retryDelayMs = (failures: number): number =>
  exponentialBackoffMs(failures - 1, RETRY_BACKOFF);

const slowPollIntervalMs = (state: ConfigState): number =>
  Math.max(SLOW_POLL_INTERVAL_MS, (state.routersInFleet / MAX_FLEET_SLOW_POLLS_PER_SECOND) * 1000);

/** Returns the delay between the end of a call to the object service and the start of the next one. */
export const nextPollDelayMs = (hasher: Hasher, state: ConfigState): number => {
  const { store } = state;
  if (store.failures > 0) return applyJitter(hasher, state, retryDelayMs(store.failures));
  if (store.reload || state.isWatcher) return 0;
  return applyJitter(hasher, state, slowPollIntervalMs(state));
};

/** Returns whether a due call is made; a sidecar with a link relies on its routers instead of the object service. */
export const shouldPollStore = (state: ConfigState): boolean =>
  state.self.role === Role.Router || state.peers.size === 0 || state.store.reload;
