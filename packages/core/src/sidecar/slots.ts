/** Arithmetic on a sidecar's slots. */
import type { RouterView, SidecarState } from './types.js';

/** Slots that are neither running, staged nor promised. Negative while work is staged. */
export function freeSlots(state: SidecarState): number {
  return state.options.slots - state.active.size - state.grants.size;
}

/** Whether some router has requests waiting. */
export function hasDemand(state: SidecarState): boolean {
  return [...state.routers.values()].some((router) => !router.leaving && waits(router));
}

function waits(router: RouterView): boolean {
  return [...router.demand.values()].some((entry) => entry.waiting > 0);
}

/**
 * Attempts to admit beyond the slots, so that a freed slot does not idle for a grant's round trip: the work that the slots
 * finish within the longest round trip.
 */
export function stagingDepth(state: SidecarState): number {
  if (state.meanSlotMs <= 0) return 0;
  const rttMs = Math.max(0, ...[...state.routers.values()].map((router) => router.rttMs));
  const depth = Math.ceil((state.options.slots * rttMs) / state.meanSlotMs);
  return Math.min(state.options.slots, depth);
}

/** Whether the sidecar takes no new work, by its own shutdown or by configuration. */
export function isDraining(state: SidecarState): boolean {
  return state.stopping || state.drained;
}

/** Whether one more grant may be given. */
export function canGrant(state: SidecarState): boolean {
  return state.synced && !isDraining(state) && freeSlots(state) + stagingDepth(state) > 0;
}

const MEAN_WEIGHT = 0.1;

/** Updates the moving average of slot time. */
export function observeSlotTime(state: SidecarState, slotMs: number): void {
  const isFirst = state.meanSlotMs === 0;
  state.meanSlotMs = isFirst
    ? slotMs
    : state.meanSlotMs + MEAN_WEIGHT * (slotMs - state.meanSlotMs);
}
