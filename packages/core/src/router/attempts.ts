/** Life of an attempt after dispatch: settle, refuse, ask for a lost one's outcome, retry. */
import type { RecordedAnswer } from '../claims/index.js';
import { chargeService, observeCost } from '../fairness/index.js';
import { AttemptOutcome } from '../journal/index.js';
import { stepClaim } from './claiming.js';
import { addOutstanding, enqueue } from './queues.js';
import { settleAttempt } from './settling.js';
import { RefusalCode, RequestState } from './types.js';
import type {
  LostAttemptOutcome,
  RouterAttempt,
  RouterEffect,
  RouterRequest,
  RouterState,
} from './types.js';

const ASK_INTERVAL_MS = 200;

/** How an attempt ended. */
export interface AttemptEnd {
  slotMs: number;
  /** The answer of a request with an idempotency key, unless it is too large to record. */
  answer?: RecordedAnswer;
}

/** The attempt ended: settles it, learns its cost, and records the answer of a request with an idempotency key. */
export function endAttempt(
  state: RouterState,
  attempt: RouterAttempt,
  { slotMs, answer }: AttemptEnd,
  nowMs: number,
): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  settleAttempt(state, attempt, slotMs);
  if (!req) return [];
  observeCost(state.estimator, costKey(req), slotMs);
  if (req.keyed) {
    const outcome = { code: 'finished' as const, answer };
    return stepClaim(state, req, { kind: 'attempt-ended', outcome }, nowMs);
  }
  state.requests.delete(req.request);
  return [];
}

/** What the cost estimator looks at. */
export function costKey(req: RouterRequest) {
  const { account, service, promptTokens, maxTokens, bodyBytes } = req;
  return { account, service, promptTokens, maxTokens, bodyBytes };
}

/** The attempt certainly has not run: its request waits again, at the head. */
export function requeueNotRun(
  state: RouterState,
  attempt: RouterAttempt,
  nowMs: number,
): RouterEffect[] {
  settleAttempt(state, attempt, 0);
  const req = state.requests.get(attempt.request);
  if (!req) return [];
  if (req.gone) {
    state.requests.delete(req.request);
    return [];
  }
  req.attempt = null;
  if (req.keyed) {
    const outcome = { code: 'not-run' as const };
    return stepClaim(state, req, { kind: 'attempt-ended', outcome }, nowMs);
  }
  req.state = RequestState.Waiting;
  enqueue(state, req, true);
  return [];
}

/** The connection broke: asks the sidecar's journal. */
export function startAsking(
  state: RouterState,
  attempt: RouterAttempt,
  nowMs: number,
): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  if (req?.gone) return [];
  if (req) req.state = RequestState.QueryingOutcome;
  attempt.askUntilMs = nowMs + state.options.outcomeTimeoutMs;
  return [askNow(attempt)];
}

/** Asks again for attempts whose sidecar did not answer. */
export function askAgain(state: RouterState, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  state.attempts.forEach((attempt) => {
    if (attempt.askAgainAtMs === 0 || attempt.askAgainAtMs > nowMs) return;
    effects.push(askNow(attempt));
  });
  return effects;
}

function askNow(attempt: RouterAttempt): RouterEffect {
  attempt.askAgainAtMs = 0;
  const { dataUrl, sidecarIncarnation } = attempt;
  return { kind: 'ask-outcome', attempt: attempt.attempt, dataUrl, sidecarIncarnation };
}

const OUTCOME_HANDLERS: Record<
  LostAttemptOutcome,
  (state: RouterState, attempt: RouterAttempt, nowMs: number) => RouterEffect[]
> = {
  [AttemptOutcome.Barred]: (state, attempt, nowMs) =>
    attempt.headRelayed ? giveUp(state, attempt, nowMs) : requeueNotRun(state, attempt, nowMs),
  [AttemptOutcome.Running]: resume,
  [AttemptOutcome.Finished]: resume,
  [AttemptOutcome.Unknown]: retryOrGiveUp,
  unreachable: (state, attempt, nowMs) => {
    if (nowMs >= attempt.askUntilMs) return retryOrGiveUp(state, attempt, nowMs);
    attempt.askAgainAtMs = nowMs + ASK_INTERVAL_MS;
    return [];
  },
};

/** Acts on what the router learned about a lost attempt. */
export function learnOutcome(
  state: RouterState,
  attempt: RouterAttempt,
  outcome: LostAttemptOutcome,
  nowMs: number,
): RouterEffect[] {
  if (state.requests.get(attempt.request)?.gone) return [];
  return OUTCOME_HANDLERS[outcome](state, attempt, nowMs);
}

function resume(state: RouterState, attempt: RouterAttempt): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  if (!req) return [];
  req.state = RequestState.Dispatched;
  const { request, dataUrl, relayedBytes } = attempt;
  return [{ kind: 'resume', request, attempt: attempt.attempt, dataUrl, offset: relayedBytes }];
}

/** The attempt may have run: only an idempotent request of which the caller has nothing yet runs again. */
function retryOrGiveUp(state: RouterState, attempt: RouterAttempt, nowMs: number): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  if (!req) return [];
  req.tries += 1;
  const mayRetry =
    req.idempotent &&
    !req.keyed &&
    !attempt.headRelayed &&
    req.tries < state.options.maxTries &&
    state.retryBudget >= 1;
  if (!mayRetry) return giveUp(state, attempt, nowMs);
  state.retryBudget -= 1;
  return requeueNotRun(state, attempt, nowMs);
}

function giveUp(state: RouterState, attempt: RouterAttempt, nowMs: number): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  settleAttempt(state, attempt, attempt.chargedMs);
  if (!req) return [];
  if (req.keyed) {
    const outcome = { code: 'unknown' as const };
    return stepClaim(state, req, { kind: 'attempt-ended', outcome }, nowMs);
  }
  state.requests.delete(req.request);
  const code = RefusalCode.OutcomeUnknown;
  return [{ kind: 'refuse', request: req.request, code, ran: 'unknown', retryAfterMs: null }];
}

/**
 * What is charged for an attempt that outlasts its charge, as a multiple of the time it has used. Slot times are heavy-tailed: a request that
 * has run long is likely to run as long again. The excess is refunded at the end.
 */
const OVERRUN_FACTOR = 2;

/** Raises the charge of running attempts that outlast it. */
export function chargeOverruns(state: RouterState, nowMs: number): void {
  state.attempts.forEach((attempt) => {
    const usedMs = nowMs - attempt.dispatchedAtMs;
    const req = state.requests.get(attempt.request);
    if (!req || usedMs <= attempt.chargedMs) return;
    const addedMs = Math.round(OVERRUN_FACTOR * usedMs) - attempt.chargedMs;
    chargeService(state.ledger, req.pool, req.account, addedMs);
    addOutstanding(state, req.pool, req.account, addedMs);
    attempt.chargedMs += addedMs;
  });
}
