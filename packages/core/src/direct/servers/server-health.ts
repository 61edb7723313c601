/** Health of a backend server, from the outcomes of this router's own attempts. */
import { exponentialBackoffMs } from '../../backoff/index.js';
import { AttemptOutcome } from '../types.js';

/** Health of one backend server. */
export interface ServerHealth {
  recordOutcome(outcome: AttemptOutcome, nowMs: number): void;
  /** Records a part of an answer. */
  recordResponse(): void;
  /** Recent fraction of failed attempts, from 0 to 1. */
  failureRate(nowMs: number): number;
  /** Time until which the server gets no requests; afterwards it gets one probe at a time. 0 for a reachable server. */
  avoidUntilMs(): number;
}

/** Half-life of an outcome's weight: a crashed engine is back after a few seconds. */
const HALF_LIFE_MS = 3000;
/** Number of successes assumed initially, so that one failure doesn't rule out a server. */
const PRIOR_SUCCESSES = 2;
/** Backoff after a server couldn't be reached; it doubles with each consecutive failure. */
const AVOID_BACKOFF = { initialMs: 300, maxMs: 3000 };

/** Outcomes that indicate a broken server or connection rather than an overloaded server. */
const UNREACHABLE_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.Unsent,
  AttemptOutcome.Unknown,
]);
/** Outcomes that the router itself causes. */
const OWN_OUTCOMES = new Set<AttemptOutcome>([AttemptOutcome.Cancelled, AttemptOutcome.Unopened]);
const FAILURE_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.Unsent,
  AttemptOutcome.Unknown,
  AttemptOutcome.Invalid,
  AttemptOutcome.Failed,
]);

/** Creates the health of a server without recorded outcomes. */
export function createServerHealth(): ServerHealth {
  let successes = 0;
  let failures = 0;
  let decayedAtMs = 0;
  let consecutiveFailures = 0;
  let avoidUntilMs = 0;

  function decay(nowMs: number): void {
    const factor = 0.5 ** ((nowMs - decayedAtMs) / HALF_LIFE_MS);
    successes *= factor;
    failures *= factor;
    decayedAtMs = nowMs;
  }

  function recordUnreachable(nowMs: number): void {
    consecutiveFailures += 1;
    if (consecutiveFailures < 2) return;
    avoidUntilMs = nowMs + exponentialBackoffMs(consecutiveFailures - 2, AVOID_BACKOFF);
  }

  return {
    recordOutcome(outcome, nowMs) {
      if (OWN_OUTCOMES.has(outcome)) return;
      decay(nowMs);
      if (FAILURE_OUTCOMES.has(outcome)) failures += 1;
      else successes += 1;
      if (UNREACHABLE_OUTCOMES.has(outcome)) {
        recordUnreachable(nowMs);
      } else {
        consecutiveFailures = 0;
        avoidUntilMs = 0;
      }
    },
    recordResponse() {
      consecutiveFailures = 0;
      avoidUntilMs = 0;
    },
    failureRate(nowMs) {
      decay(nowMs);
      return failures / (successes + failures + PRIOR_SUCCESSES);
    },
    avoidUntilMs: () => avoidUntilMs,
  };
}
