/** Evidence from this router's own attempts on whether a backend server can be used. */
import { doublingMs } from '../backoff/index.js';
import { AttemptOutcome } from './types.js';

/** Health of one backend server as this router sees it. */
export interface ServerHealth {
  recordOutcome(end: AttemptOutcome, nowMs: number): void;
  /** An answer began. */
  recordResponse(): void;
  /** Recent share of failed attempts, 0 to 1. */
  failureRate(nowMs: number): number;
  /** Until when no new work goes there but for one trial; 0 when it is open. */
  avoidUntilMs(): number;
}

/** Time after which old evidence counts half: a crashed engine is back after a few seconds. */
const HALF_LIFE_MS = 3000;
/** Good attempts assumed at the start, so that one failure does not condemn a server. */
const PRIOR_GOOD = 2;
/** First time without new work after a server couldn't be reached; it doubles with each failure in a row. */
const AVOID = { firstMs: 300, longestMs: 3000 };

/** Ends that say that the server or the path to it is broken rather than that it is busy. */
const UNREACHABLE = new Set<AttemptOutcome>([AttemptOutcome.Unsent, AttemptOutcome.Unknown]);
const FAILED = new Set<AttemptOutcome>([
  AttemptOutcome.Unsent,
  AttemptOutcome.Unknown,
  AttemptOutcome.Failed,
]);

/** Creates the health of a server without any evidence. */
export function createServerHealth(): ServerHealth {
  let good = 0;
  let bad = 0;
  let decayedAtMs = 0;
  let failuresInRow = 0;
  let avoidUntil = 0;

  function decay(nowMs: number): void {
    const factor = 0.5 ** ((nowMs - decayedAtMs) / HALF_LIFE_MS);
    good *= factor;
    bad *= factor;
    decayedAtMs = nowMs;
  }

  function noteUnreachable(nowMs: number): void {
    failuresInRow += 1;
    if (failuresInRow < 2) return;
    avoidUntil = nowMs + doublingMs(failuresInRow - 2, AVOID);
  }

  return {
    recordOutcome(end, nowMs) {
      if (end === AttemptOutcome.Cancelled) return;
      decay(nowMs);
      if (FAILED.has(end)) bad += 1;
      else good += 1;
      if (UNREACHABLE.has(end)) {
        noteUnreachable(nowMs);
      } else {
        failuresInRow = 0;
        avoidUntil = 0;
      }
    },
    recordResponse() {
      failuresInRow = 0;
      avoidUntil = 0;
    },
    failureRate(nowMs) {
      decay(nowMs);
      return bad / (good + bad + PRIOR_GOOD);
    },
    avoidUntilMs: () => avoidUntil,
  };
}
