/** Attempts whose connections may have gone silent: they get nothing, while their servers answer others. */
import type { DirectEffect } from './events.js';
import { findServerState } from './state.js';
import type { DirectState, OpenAttempt, ServerState } from './state.js';

/** Minimum time without an answer or an event; several round trips between regions. */
const MIN_QUIET_MS = 500;
/** Multiple of the time that few answers or events exceed: a server that is only slow is left to go on. */
const QUIET_WEIGHT = 2;
/** Time for which a server must have delivered something to other attempts since, so that a pause of all of it doesn't count. */
const MIN_OTHERS_MS = 250;
/** Time between two examinations of one connection: only what has delivered nothing meanwhile is silent. */
const EXAMINATION_PERIOD_MS = 250;

/** How an attempt has been quiet. */
interface Quiet {
  sinceMs: number;
  /** Time that few attempts exceed; undefined while nothing is known about the route. */
  expectedMs: number | undefined;
  /** The server has answered what it got later. */
  isAnsweringOthers: boolean;
}

function describeQuiet(state: DirectState, attempt: OpenAttempt, server: ServerState): Quiet {
  const route = state.requests.get(attempt.requestId)?.attributes.route.name ?? '';
  const { heardAtMs, predictedMs, prediction } = attempt;
  if (heardAtMs === undefined) {
    const { sentAtMs } = prediction;
    const delayMs = state.answerDelays.expectedMs(route);
    return {
      sinceMs: sentAtMs,
      expectedMs: delayMs && Math.max(delayMs, predictedMs),
      isAnsweringOthers: server.answeredSentAtMs > sentAtMs,
    };
  }
  return {
    sinceMs: heardAtMs,
    expectedMs: state.eventGaps.expectedMs(route),
    isAnsweringOthers: server.heardAtMs - heardAtMs >= MIN_OTHERS_MS,
  };
}

function mayBeSilent(state: DirectState, attempt: OpenAttempt, nowMs: number): boolean {
  if (attempt.isSilent || nowMs - attempt.examinedAtMs < EXAMINATION_PERIOD_MS) return false;
  const server = findServerState(state, attempt);
  if (server === undefined) return false;
  const { sinceMs, expectedMs, isAnsweringOthers } = describeQuiet(state, attempt, server);
  if (!isAnsweringOthers || expectedMs === undefined) return false;
  return nowMs - sinceMs >= Math.max(MIN_QUIET_MS, QUIET_WEIGHT * expectedMs);
}

/** Returns effects that examine the connections of attempts which may have gone silent. */
export function examineQuiet(state: DirectState, nowMs: number): DirectEffect[] {
  return [...state.attempts.values()]
    .filter((attempt) => mayBeSilent(state, attempt, nowMs))
    .map((attempt) => {
      attempt.examinedAtMs = nowMs;
      return { kind: 'examine-connection', attempt: attempt.id };
    });
}
