/** Arithmetic on a sidecar's slots. */
import type { LinkedRouter, SidecarState } from './types.js';

/** Slots that are neither running, staged nor promised. Negative while work is staged. */
export function freeSlots(state: SidecarState): number {
  return state.options.slots - state.active.size - state.grants.size;
}

/** Attempts that may be at the backend server at once. */
export function backendConcurrencyLimit(state: SidecarState): number {
  const { slots, queueAhead } = state.options;
  return slots + Math.min(queueAhead, stagingDepth(state));
}

/** Whether some router has requests waiting. */
export function hasDemand(state: SidecarState): boolean {
  return [...state.routers.values()].some((router) => !router.leaving && waits(router));
}

function waits(router: LinkedRouter): boolean {
  return [...router.demand.values()].some((entry) => entry.waiting > 0);
}

/**
 * Attempts to admit beyond the slots, so that a freed slot does not idle while a grant turns into an attempt: the work that the
 * slots finish in twice the usual time of that, the second half against its variation. Where a slot frees seldom it is none, since
 * an admitted attempt stands before all that arrive later, whoever has had the least service.
 */
export function stagingDepth(state: SidecarState): number {
  if (state.meanSlotMs <= 0) return 0;
  const finishedMeanwhile = (state.options.slots * state.grantLatencyMs) / state.meanSlotMs;
  return Math.min(state.options.slots, Math.round(2 * finishedMeanwhile));
}

/** Whether the sidecar takes no new work, by its own shutdown or by configuration. */
export function isDraining(state: SidecarState): boolean {
  return state.stopping || state.drained;
}

/** Whether one more grant may be given. */
export function canGrant(state: SidecarState): boolean {
  const admitted = state.active.size + state.grants.size;
  const limit = state.options.slots + stagingDepth(state);
  return state.synced && !isDraining(state) && admitted < limit;
}

const MEAN_WEIGHT = 0.1;

/** Updates the moving average of slot time. */
export function observeSlotTime(state: SidecarState, slotMs: number): void {
  state.meanSlotMs = movingAverage(state.meanSlotMs, slotMs);
}

/** Updates the moving average of the time from a grant to its attempt. */
export function observeGrantLatency(state: SidecarState, latencyMs: number): void {
  state.grantLatencyMs = movingAverage(state.grantLatencyMs, latencyMs);
}

/** An average of 0 has no samples yet. */
function movingAverage(average: number, sample: number): number {
  return average === 0 ? sample : average + MEAN_WEIGHT * (sample - average);
}
