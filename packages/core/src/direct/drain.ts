/** Limits on new attempts while the router drains. */
import type { DecisionInputs } from './events.js';
import type { DirectState } from './state.js';
import type { RequestAttributes } from './types.js';

/** Part of the drain that an attempt is expected to take if nothing is known about its route. */
const UNKNOWN_DRAIN_FRACTION = 0.5;
/** Weight of the time that an open attempt has taken: how much longer it takes is unknown. */
const OPEN_ATTEMPT_WEIGHT = 4;
/** Time after the start of the drain until which new connections arrive; requests that are complete later come on older ones. */
const LATE_AFTER_MS = 2900;

/** Longest expectation for the routes whose attempts are of the same kind, at the same servers; undefined without observations. */
function expectedOfRelatedMs(
  { routeTable, runDurations }: DirectState,
  { route, service }: RequestAttributes,
): number | undefined {
  const related = (routeTable?.config.routes ?? []).filter(
    ({ streaming, services }) =>
      streaming === route.streaming && services.some((entry) => entry.service === service),
  );
  const expected = related.flatMap(({ name }) => runDurations.expectedMs(name) ?? []);
  return expected.length > 0 ? Math.max(...expected) : undefined;
}

/** Time that the oldest open attempt of a route has taken; 0 without one. */
function oldestAttemptMs(
  { attempts, requests }: DirectState,
  route: string,
  nowMs: number,
): number {
  const oldest = [...attempts.values()].find(
    ({ requestId }) => requests.get(requestId)?.attributes.route.name === route,
  );
  return oldest === undefined ? 0 : nowMs - oldest.prediction.sentAtMs;
}

/** Expected duration of an attempt of a route without observations. */
function expectedUnobservedMs(
  state: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): number {
  const { route } = attributes;
  const relatedMs = expectedOfRelatedMs(state, attributes);
  const openMs = oldestAttemptMs(state, route.name, nowMs);
  const expectedMs = Math.max(
    relatedMs ?? state.drainMs * UNKNOWN_DRAIN_FRACTION,
    openMs * OPEN_ATTEMPT_WEIGHT,
  );
  return Math.min(route.timeoutMs, expectedMs);
}

/** Expected duration of an attempt that is sent now: at most until the deadline, which ends every request. */
function expectedRunMs(state: DirectState, attributes: RequestAttributes, nowMs: number): number {
  const remainingMs = Math.max(0, attributes.expiresAtMs - nowMs);
  const observedMs = state.runDurations.expectedMs(attributes.route.name);
  return Math.min(remainingMs, observedMs ?? expectedUnobservedMs(state, attributes, nowMs));
}

/** Returns whether an attempt that is sent now can be expected to end before the drain does; true while the router isn't draining. */
export function canEndInDrain(
  state: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): boolean {
  if (state.drainEndsAtMs === Number.POSITIVE_INFINITY) return true;
  const leftMs = state.drainEndsAtMs - nowMs;
  return leftMs > 0 && expectedRunMs(state, attributes, nowMs) <= leftMs;
}

/**
 * Returns whether a request that has arrived now may be sent. Late in the drain an estimate isn't enough: its caller could have asked
 * another router, so the request must be certain to end, at its deadline at the latest.
 */
export function mayArriveInDrain(
  state: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): boolean {
  const { drainEndsAtMs, drainMs } = state;
  const isLate = nowMs - (drainEndsAtMs - drainMs) > LATE_AFTER_MS;
  if (isLate && attributes.expiresAtMs > drainEndsAtMs) return false;
  return canEndInDrain(state, attributes, nowMs);
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
    remainingMs: Math.round(attributes.expiresAtMs - nowMs),
  };
}
