/** Limits on new attempts while the router drains. */
import type { DecisionInputs } from './events.js';
import type { DirectState } from './state.js';
import type { RequestAttributes } from './types.js';

/** Expected duration of an attempt that is sent now: at most until the deadline, which ends every request. */
function expectedRunMs(
  { runDurations }: DirectState,
  { route, expiresAtMs }: RequestAttributes,
  nowMs: number,
): number {
  const remainingMs = Math.max(0, expiresAtMs - nowMs);
  return Math.min(remainingMs, runDurations.expectedMs(route.name) ?? route.timeoutMs);
}

/** Returns whether an attempt that is sent now can be expected to end before the drain does; true while the router isn't draining. */
export function canEndInDrain(
  state: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): boolean {
  const leftMs = state.drainEndsAtMs - nowMs;
  return leftMs > 0 && expectedRunMs(state, attributes, nowMs) <= leftMs;
}

/** Inputs of the decision, for logs. */
export function describeDrain(
  state: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): DecisionInputs {
  return {
    account: attributes.account,
    expectedMs: Math.round(expectedRunMs(state, attributes, nowMs)),
    drainLeftMs: Math.round(state.drainEndsAtMs - nowMs),
  };
}
