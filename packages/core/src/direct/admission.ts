/** Decides whether a request is sent now or refused at once. */
import type { Candidate } from './placement.js';
import type { RequestAttributes } from './types.js';

/** What was decided and from what. */
export interface Admission {
  admitted: boolean;
  /** Longest predicted time to the first event at which it would be admitted. */
  allowedMs: number;
  /** When capacity is likely, from now. */
  retryAfterMs: number;
}

/** Part of the objective that a prediction may use while engines have capacity; the rest covers its error and the way. */
const CALM_PART = 0.75;
/** A share used, and the part of the objective that a prediction may use there while engines are busy. */
interface SharePoint {
  shareUsed: number;
  part: number;
}
/**
 * While engines are busy, accounts far below their share go first, and the further one is above it, the less may be predicted
 * for its requests.
 */
const SHARE_POINTS: readonly SharePoint[] = [
  { shareUsed: 0.8, part: 0.9 },
  { shareUsed: 1.1, part: 0.3 },
  { shareUsed: 1.5, part: 0.05 },
];
/** Mean wait at a service's engines, as a part of the objective, at which they count as wholly busy. */
const BUSY_WAIT_PART = 0.15;
/**
 * Part of the objective that a request's own work counts for at most. Without it, large prompts would be refused whenever
 * anything waits, and none of them would be served under load.
 */
const OWN_WORK_PART = 0.35;
/** Bounds of the time told to callers. */
const LEAST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 2000;
/** Callers that were refused together come back spread over this part of the time more. */
const RETRY_SPREAD = 0.5;

function busyPart(shareUsed: number): number {
  if (shareUsed === 0) return CALM_PART;
  const next = SHARE_POINTS.findIndex((point) => shareUsed < point.shareUsed);
  if (next === 0) return SHARE_POINTS[0]!.part;
  if (next < 0) return SHARE_POINTS[SHARE_POINTS.length - 1]!.part;
  const [from, to] = [SHARE_POINTS[next - 1]!, SHARE_POINTS[next]!];
  const way = (shareUsed - from.shareUsed) / (to.shareUsed - from.shareUsed);
  return from.part + way * (to.part - from.part);
}

/** Part of the objective that a prediction may use: shares matter only as far as engines are busy. */
function allowedPart(shareUsed: number, meanWaitMs: number, objectiveMs: number): number {
  const busy = Math.min(1, meanWaitMs / (objectiveMs * BUSY_WAIT_PART));
  return CALM_PART + busy * (busyPart(shareUsed) - CALM_PART);
}

/**
 * Admits a request if its predicted first event is within the part of its objective that its account's share allows.
 * @param draw random, from 0 up to 1, spreads returns
 */
export function admit(
  facts: RequestAttributes,
  best: Candidate,
  shareUsed: number,
  draw: number,
): Admission {
  const { objectiveMs } = facts.route;
  const allowedMs = objectiveMs * allowedPart(shareUsed, best.meanWaitMs, objectiveMs);
  const overWork = Math.max(0, best.workMs - objectiveMs * OWN_WORK_PART);
  const countedMs = best.predictedMs - overWork;
  const over = Math.max(countedMs - allowedMs, LEAST_RETRY_MS);
  const retryAfterMs = Math.min(LONGEST_RETRY_MS, over * (1 + RETRY_SPREAD * draw));
  return { admitted: countedMs <= allowedMs, allowedMs, retryAfterMs };
}
