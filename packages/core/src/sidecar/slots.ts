/** Slot accounting of a sidecar. */
import type { LinkedRouter, SidecarState } from './types.js';

/** Returns the number of slots without an active attempt or an open grant; negative while more attempts are admitted than slots. */
export function freeSlots(state: SidecarState): number {
  return state.options.slots - state.active.size - state.grants.size;
}

/** Returns the maximum number of concurrent attempts at the backend server. */
export function backendConcurrencyLimit(state: SidecarState): number {
  const { slots, queueAhead } = state.options;
  return slots + Math.min(queueAhead, stagingDepth(state));
}

/** Returns whether requests wait at any router that is not leaving. */
export function hasDemand(state: SidecarState): boolean {
  return [...state.routers.values()].some(
    (router) => !router.leaving && hasWaitingRequests(router),
  );
}

function hasWaitingRequests(router: LinkedRouter): boolean {
  return [...router.demand.values()].some((entry) => entry.waiting > 0);
}

/**
 * Returns the number of attempts admitted beyond the slots, so that a freed slot is not idle while a grant is turned into an attempt. It
 * is the number of attempts that the slots finish in twice the mean grant latency; the factor of two covers its variance. It is zero
 * where slots are freed rarely, because an admitted attempt precedes all later ones regardless of their accounts' virtual times.
 */
export function stagingDepth(state: SidecarState): number {
  if (state.meanSlotMs <= 0) return 0;
  const finishedDuringGrant = (state.options.slots * state.grantLatencyMs) / state.meanSlotMs;
  return Math.min(state.options.slots, Math.round(2 * finishedDuringGrant));
}

/** Returns whether the sidecar accepts no new work because of shutdown or configuration. */
export function isDraining(state: SidecarState): boolean {
  return state.stopping || state.drained;
}

/** Returns whether another grant can be issued. */
export function canGrant(state: SidecarState): boolean {
  const admitted = state.active.size + state.grants.size;
  const limit = state.options.slots + stagingDepth(state);
  return state.synced && !isDraining(state) && admitted < limit;
}

/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.1;

/** Updates the moving average of the slot time. */
export function observeSlotTime(state: SidecarState, slotMs: number): void {
  state.meanSlotMs = updateMovingAverage(state.meanSlotMs, slotMs);
}

/** Updates the moving average of the time from a grant to the arrival of its attempt. */
export function observeGrantLatency(state: SidecarState, latencyMs: number): void {
  state.grantLatencyMs = updateMovingAverage(state.grantLatencyMs, latencyMs);
}

/** Returns the exponential moving average including the sample; an average of 0 has no samples yet. */
function updateMovingAverage(average: number, sample: number): number {
  return average === 0 ? sample : average + SAMPLE_WEIGHT * (sample - average);
}
