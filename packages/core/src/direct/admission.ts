/** Admission control: decides whether a request is sent now or refused immediately. */
import type { Candidate } from './placement.js';
import type { RequestAttributes } from './types.js';

/** Admission decision with the limits that led to it. */
export interface Admission {
  admitted: boolean;
  /** Maximum predicted time to the first event at which the request is admitted. */
  allowedMs: number;
  /** Estimated time until capacity is available. */
  retryAfterMs: number;
}

/** Fraction of the latency objective available under low load; the rest covers prediction errors and network latency. */
const LOW_LOAD_FRACTION = 0.75;
/** Fraction of the latency objective available to a prediction under full load, at one value of the used share. */
interface SharePoint {
  shareUsed: number;
  fraction: number;
}
/**
 * Under full load, an account well below its fair share gets a larger fraction than under low load. Around and above the fair
 * share, the fraction falls as the used share grows. Values between the points are interpolated linearly.
 */
const SHARE_POINTS: readonly SharePoint[] = [
  { shareUsed: 0.8, fraction: 0.9 },
  { shareUsed: 1.1, fraction: 0.3 },
  { shareUsed: 1.5, fraction: 0.05 },
];
/** Mean wait at a service's engines, as a fraction of the latency objective, that counts as full load. */
const FULL_LOAD_WAIT_FRACTION = 0.15;
/**
 * Maximum fraction of the latency objective counted for a request's own work. Without this limit, large prompts would be refused
 * whenever there is any queue, so none of them would be served under load.
 */
const MAX_OWN_WORK_FRACTION = 0.35;
/** Bounds of `Retry-After`. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 2000;
/** Maximum relative jitter of `Retry-After`: spreads out the retries of callers that were refused together. */
const RETRY_JITTER = 0.5;

function fullLoadFraction(shareUsed: number): number {
  if (shareUsed === 0) return LOW_LOAD_FRACTION;
  const upperIndex = SHARE_POINTS.findIndex((point) => shareUsed < point.shareUsed);
  if (upperIndex === 0) return SHARE_POINTS[0]!.fraction;
  if (upperIndex < 0) return SHARE_POINTS[SHARE_POINTS.length - 1]!.fraction;
  const [lower, upper] = [SHARE_POINTS[upperIndex - 1]!, SHARE_POINTS[upperIndex]!];
  const position = (shareUsed - lower.shareUsed) / (upper.shareUsed - lower.shareUsed);
  return lower.fraction + position * (upper.fraction - lower.fraction);
}

/** How far an account has used its fair share, and how far the fleet's capacity is insufficient. */
export interface AccountShare {
  /** Ratio of served tokens to the fair share; 0 while capacity is sufficient. */
  used: number;
  /** From 0 to 1; the same at all routers, while each estimates the waits at engines for itself. */
  shortfall: number;
}

/** Fraction of the latency objective available to a prediction. The effect of the used share grows with the load. */
function allowedFraction(
  { used, shortfall }: AccountShare,
  meanWaitMs: number,
  objectiveMs: number,
): number {
  const waitLoad = Math.min(1, meanWaitMs / (objectiveMs * FULL_LOAD_WAIT_FRACTION));
  const load = Math.max(waitLoad, shortfall);
  return LOW_LOAD_FRACTION + load * (fullLoadFraction(used) - LOW_LOAD_FRACTION);
}

/**
 * Admits a request if its predicted time to the first event is within the fraction of its latency objective that its account's
 * used share allows.
 * @param draw random number in [0, 1) for the jitter of `Retry-After`
 */
export function admit(
  attributes: RequestAttributes,
  best: Candidate,
  share: AccountShare,
  draw: number,
): Admission {
  const { objectiveMs } = attributes.route;
  const allowedMs = objectiveMs * allowedFraction(share, best.meanWaitMs, objectiveMs);
  const uncountedWorkMs = Math.max(0, best.workMs - objectiveMs * MAX_OWN_WORK_FRACTION);
  const countedMs = best.predictedMs - uncountedWorkMs;
  const excessMs = Math.max(countedMs - allowedMs, MIN_RETRY_AFTER_MS);
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, excessMs * (1 + RETRY_JITTER * draw));
  return { admitted: countedMs <= allowedMs, allowedMs, retryAfterMs };
}
