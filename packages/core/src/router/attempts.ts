/** Attempts after dispatch: completion, refusal, outcome queries for lost connections, and retries. */
import type { RecordedResponse } from '../claims/index.js';
import { chargeService, observeCost } from '../fairness/index.js';
import { AttemptOutcome } from '../journal/index.js';
import { applyClaimEvent } from './claiming.js';
import { addOutstandingMs, enqueue } from './queues.js';
import { settleAttempt } from './settle-attempt.js';
import { RefusalCode, RequestState } from './types.js';
import type {
  LostAttemptOutcome,
  RouterAttempt,
  RouterEffect,
  RouterRequest,
  RouterState,
} from './types.js';

const OUTCOME_QUERY_INTERVAL_MS = 200;

/** Result of an ended attempt. */
export interface AttemptResult {
  /** Slot time used, in milliseconds. */
  slotMs: number;
  /** Response to a request with an `Idempotency-Key`; absent if it is too large to record. */
  answer?: RecordedResponse;
}

/** Settles an ended attempt, updates the cost estimate, and records the response of a request with an `Idempotency-Key`. */
export function endAttempt(
  state: RouterState,
  attempt: RouterAttempt,
  { slotMs, answer }: AttemptResult,
  nowMs: number,
): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  settleAttempt(state, attempt, slotMs);
  if (!req) return [];
  observeCost(state.estimator, costHints(req), slotMs);
  if (req.keyed) {
    const outcome = { code: 'finished' as const, answer };
    return applyClaimEvent(state, req, { kind: 'attempt-ended', outcome }, nowMs);
  }
  state.requests.delete(req.request);
  return [];
}

/** Returns the properties of a request from which its cost is estimated. */
export function costHints(req: RouterRequest) {
  const { account, service, promptTokens, maxTokens, bodyBytes } = req;
  return { account, service, promptTokens, maxTokens, bodyBytes };
}

/** Settles an attempt without charge and requeues its request at the front. */
export function requeueRequest(
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
    return applyClaimEvent(state, req, { kind: 'attempt-ended', outcome }, nowMs);
  }
  req.state = RequestState.Waiting;
  enqueue(state, req, true);
  return [];
}

/** Queries the sidecar's journal for the outcome of an attempt whose connection was lost. */
export function startOutcomeQuery(
  state: RouterState,
  attempt: RouterAttempt,
  nowMs: number,
): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  if (req?.gone) return [];
  if (req) req.state = RequestState.QueryingOutcome;
  attempt.askUntilMs = nowMs + state.options.outcomeTimeoutMs;
  return [queryOutcome(attempt)];
}

/** Repeats the due outcome queries of attempts whose sidecar did not respond. */
export function repeatOutcomeQueries(state: RouterState, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  state.attempts.forEach((attempt) => {
    if (attempt.askAgainAtMs === 0 || attempt.askAgainAtMs > nowMs) return;
    effects.push(queryOutcome(attempt));
  });
  return effects;
}

function queryOutcome(attempt: RouterAttempt): RouterEffect {
  attempt.askAgainAtMs = 0;
  const { dataUrl, sidecarIncarnation } = attempt;
  return { kind: 'ask-outcome', attempt: attempt.attempt, dataUrl, sidecarIncarnation };
}

const OUTCOME_HANDLERS: Record<
  LostAttemptOutcome,
  (state: RouterState, attempt: RouterAttempt, nowMs: number) => RouterEffect[]
> = {
  [AttemptOutcome.Barred]: (state, attempt, nowMs) =>
    attempt.headRelayed
      ? failWithUnknownOutcome(state, attempt, nowMs)
      : requeueRequest(state, attempt, nowMs),
  [AttemptOutcome.Running]: resumeRelay,
  [AttemptOutcome.Finished]: resumeRelay,
  [AttemptOutcome.Unknown]: retryOrFail,
  unreachable: (state, attempt, nowMs) => {
    if (nowMs >= attempt.askUntilMs) return retryOrFail(state, attempt, nowMs);
    attempt.askAgainAtMs = nowMs + OUTCOME_QUERY_INTERVAL_MS;
    return [];
  },
};

/** Resumes, retries, or fails a lost attempt according to the outcome that its sidecar reported. */
export function handleOutcome(
  state: RouterState,
  attempt: RouterAttempt,
  outcome: LostAttemptOutcome,
  nowMs: number,
): RouterEffect[] {
  if (state.requests.get(attempt.request)?.gone) return [];
  return OUTCOME_HANDLERS[outcome](state, attempt, nowMs);
}

function resumeRelay(state: RouterState, attempt: RouterAttempt): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  if (!req) return [];
  req.state = RequestState.Dispatched;
  const { request, dataUrl, relayedBytes } = attempt;
  return [{ kind: 'resume', request, attempt: attempt.attempt, dataUrl, offset: relayedBytes }];
}

/**
 * Retries an attempt that may have run only if its request is idempotent, no part of the response was relayed, and the retry limits
 * allow it; fails the request otherwise.
 */
function retryOrFail(state: RouterState, attempt: RouterAttempt, nowMs: number): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  if (!req) return [];
  req.tries += 1;
  const canRetry =
    req.idempotent &&
    !req.keyed &&
    !attempt.headRelayed &&
    req.tries < state.options.maxTries &&
    state.retryBudget >= 1;
  if (!canRetry) return failWithUnknownOutcome(state, attempt, nowMs);
  state.retryBudget -= 1;
  return requeueRequest(state, attempt, nowMs);
}

function failWithUnknownOutcome(
  state: RouterState,
  attempt: RouterAttempt,
  nowMs: number,
): RouterEffect[] {
  const req = state.requests.get(attempt.request);
  settleAttempt(state, attempt, attempt.chargedMs);
  if (!req) return [];
  if (req.keyed) {
    const outcome = { code: 'unknown' as const };
    return applyClaimEvent(state, req, { kind: 'attempt-ended', outcome }, nowMs);
  }
  state.requests.delete(req.request);
  const code = RefusalCode.OutcomeUnknown;
  return [{ kind: 'refuse', request: req.request, code, ran: 'unknown', retryAfterMs: null }];
}

/**
 * Charge of an attempt that exceeds its estimate, as a multiple of its elapsed time. Slot times are heavy-tailed, so a request that
 * has run for long is likely to run as long again. The excess is refunded when the attempt ends.
 */
const OVERRUN_FACTOR = 2;

/** Increases the charge of attempts whose elapsed time exceeds it. */
export function chargeOverruns(state: RouterState, nowMs: number): void {
  state.attempts.forEach((attempt) => {
    const usedMs = nowMs - attempt.dispatchedAtMs;
    const req = state.requests.get(attempt.request);
    if (!req || usedMs <= attempt.chargedMs) return;
    const additionalMs = Math.round(OVERRUN_FACTOR * usedMs) - attempt.chargedMs;
    chargeService(state.ledger, req.pool, req.account, additionalMs);
    addOutstandingMs(state, req.pool, req.account, additionalMs);
    attempt.chargedMs += additionalMs;
  });
}
