/** Limit of one backend server: how many requests this router may send to it. */
import { createSlidingSum } from '../../sliding-sum.js';

/** Limit of one run of a backend server, in requests from all routers together. */
export interface ServerLimit {
  /** Stated rate; undefined if the server has stated that it has no limit any more. */
  requestsPerSecond(): number | undefined;
  /** Time of the last statement. */
  statedAtMs(): number;
  /** Records a statement. Returns whether the rate has changed. */
  state(requestsPerSecond: number | undefined, statedAtMs: number, nowMs: number): boolean;
  /** Time until this router may send a request; 0 if it may now. `fraction` of the allowed requests are its own. */
  waitMs(fraction: number, nowMs: number): number;
  recordSend(nowMs: number): void;
  /** Adds the requests of other routers since their last report. */
  recordPeerSends(requests: number, nowMs: number): void;
}

/** Window over which the requests of the fleet are counted. */
const FLEET_WINDOW_MS = 4000;
/** Requests of the fleet in a window at which this router sends none, relative to what the limit allows, and in addition to it. */
const MAX_FLEET_RATIO = 1.1;
const FLEET_BURST = 1;
/** Rate of the fleet at which even a server with a lower limit is asked, since only an answer shows that the limit is lifted. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Time for which a router's part of the limit accumulates while it has no requests. */
const MAX_BURST_MS = 250;

/**
 * Creates the limit of a server that has stated none.
 * @param phase requests in [0, 1) that this router may send at once; differs between routers, so that those that learn of a limit
 * together don't send their first requests together
 */
export function createServerLimit(phase: number): ServerLimit {
  const fleetSends = createSlidingSum(FLEET_WINDOW_MS);
  let rate: number | undefined;
  let statedAtMs = Number.NEGATIVE_INFINITY;
  /** Requests that this router may send, with the fraction of the next one. */
  let allowance = phase;
  let allowanceAtMs = 0;

  const fleetRate = (): number => Math.max(rate ?? 0, MIN_REQUESTS_PER_SECOND);

  /** Time until the fleet has sent few enough requests in the window. */
  function fleetWaitMs(nowMs: number): number {
    const allowedSends = (fleetRate() * FLEET_WINDOW_MS) / 1000;
    const maxSends = allowedSends * MAX_FLEET_RATIO + FLEET_BURST;
    const excess = fleetSends.total(nowMs) + 1 - maxSends;
    return excess > 0 ? (excess / fleetRate()) * 1000 : 0;
  }

  function ownWaitMs(fraction: number, nowMs: number): number {
    const perMs = (fleetRate() * fraction) / 1000;
    const maxAllowance = Math.max(1, perMs * MAX_BURST_MS);
    allowance = Math.min(maxAllowance, allowance + perMs * (nowMs - allowanceAtMs));
    allowanceAtMs = nowMs;
    // Parts follow the demand of the last window, so a longer wait would rest on parts that have changed by then.
    return allowance >= 1 ? 0 : Math.min(FLEET_WINDOW_MS, (1 - allowance) / perMs);
  }

  return {
    requestsPerSecond: () => rate,
    statedAtMs: () => statedAtMs,
    state(requestsPerSecond, atMs, nowMs) {
      const hasChanged = rate !== requestsPerSecond;
      if (rate === undefined && hasChanged) {
        allowance = phase;
        allowanceAtMs = nowMs;
      }
      rate = requestsPerSecond;
      statedAtMs = atMs;
      return hasChanged;
    },
    waitMs: (fraction, nowMs) =>
      rate === undefined ? 0 : Math.max(ownWaitMs(fraction, nowMs), fleetWaitMs(nowMs)),
    recordSend(nowMs) {
      allowance = Math.max(0, allowance - 1);
      fleetSends.add(nowMs, 1);
    },
    recordPeerSends: (requests, nowMs) => fleetSends.add(nowMs, requests),
  };
}
