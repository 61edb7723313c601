/** Decides whether a request is sent now or refused at once. */
import type { Candidate } from './placement.js';
import type { RequestFacts } from './types.js';

/** What was decided and from what. */
export interface Admission {
  admitted: boolean;
  /** Longest predicted time to the first event at which it would be admitted. */
  allowedMs: number;
  /** When capacity is likely, from now. */
  retryAfterMs: number;
}

/** Part of the objective that a prediction may use; the rest covers its error and the way to the caller. */
const BASE_PART = 0.75;
/** For an account far below its share. */
const LOW_ACCOUNT_PART = 0.9;
/** For an account above its share: only engines that have next to nothing waiting take its requests. */
const HIGH_ACCOUNT_PART = 0.3;
/**
 * Part of the objective that a request's own work counts for at most. Without it, large prompts would be refused whenever
 * anything waits, and none of them would be served under load.
 */
const OWN_WORK_PART = 0.35;
/** Shares used at which an account counts as low, and as high. */
const LOW_SHARE = 0.8;
const HIGH_SHARE = 1.1;
/** Bounds of the time told to callers. */
const LEAST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 2000;
/** Callers that were refused together come back spread over this part of the time more. */
const RETRY_SPREAD = 0.5;

function allowedPart(shareUsed: number): number {
  if (shareUsed <= LOW_SHARE) return shareUsed === 0 ? BASE_PART : LOW_ACCOUNT_PART;
  if (shareUsed >= HIGH_SHARE) return HIGH_ACCOUNT_PART;
  const above = (shareUsed - LOW_SHARE) / (HIGH_SHARE - LOW_SHARE);
  return LOW_ACCOUNT_PART + above * (HIGH_ACCOUNT_PART - LOW_ACCOUNT_PART);
}

/**
 * Admits a request if its predicted first event is within the part of its objective that its account's share allows.
 * @param draw random, from 0 up to 1, spreads returns
 */
export function admit(
  facts: RequestFacts,
  best: Candidate,
  shareUsed: number,
  draw: number,
): Admission {
  const { objectiveMs } = facts.route;
  const allowedMs = objectiveMs * allowedPart(shareUsed);
  const overWork = Math.max(0, best.workMs - objectiveMs * OWN_WORK_PART);
  const countedMs = best.predictedMs - overWork;
  const over = Math.max(countedMs - allowedMs, LEAST_RETRY_MS);
  const retryAfterMs = Math.min(LONGEST_RETRY_MS, over * (1 + RETRY_SPREAD * draw));
  return { admitted: countedMs <= allowedMs, allowedMs, retryAfterMs };
}
