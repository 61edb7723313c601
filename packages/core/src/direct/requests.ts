/** Event handlers for the attempts of requests, and for requests that end. */
import { admit } from './admission.js';
import { getShareUsed, refuseResumption, remainingBlockMs, ResumptionFailure } from './arrivals.js';
import { recordAttemptEnd } from './crashes/crash-evidence.js';
import { listCrashTraits } from './crashes/crash-traits.js';
import { describeCandidate, describeVersion, send } from './dispatch.js';
import { canEndInDrain, describeDrain } from './drain.js';
import type { DirectEffect, Refusal } from './events.js';
import { chooseServer } from './placement.js';
import type { Candidate } from './placement.js';
import {
  closeRequest,
  createDrainingRefusal,
  createNotRunRefusal,
  finish,
  NO_SERVER_RETRY_MS,
  refuse,
} from './request-end.js';
import { findServerState } from './state.js';
import type { DirectState, OpenAttempt, OpenRequest, ServerState } from './state.js';
import { AttemptOutcome, RefusalCode, RetryPolicy } from './types.js';
import type { RequestAttributes } from './types.js';

/** Maximum number of attempts per request: if several servers reject it, the others are likely to reject it too. */
const MAX_SENT_ATTEMPTS = 3;
/** Step between the sampling draws of successive retries: multiples of the golden ratio spread evenly. */
const RETRY_DRAW_STEP = 0.618;
/** Minimum time to the deadline for a retry. */
const MIN_RETRY_REMAINING_MS = 50;
function countPrediction({ totals }: DirectState, attempt: OpenAttempt, observedMs: number): void {
  totals.begun += 1;
  totals.predictedMs += attempt.predictedMs;
  totals.seenMs += observedMs;
  totals.errorMs += Math.abs(observedMs - attempt.predictedMs);
}

/** Returns whether a new request with these attributes would be sent to the server. */
function isAdmitted(
  state: DirectState,
  attributes: RequestAttributes,
  best: Candidate,
  nowMs: number,
): boolean {
  const used = getShareUsed(state, attributes, nowMs);
  const share = { used, shortfall: state.accountUsage.shortfall(nowMs) };
  return admit(attributes, best, share, 0).admitted;
}

function recordHeard(attempt: OpenAttempt, serverState: ServerState, nowMs: number): void {
  attempt.heardAtMs = nowMs;
  serverState.heardAtMs = nowMs;
}

/** Handles the first event or the response head of an attempt. */
export function onAttemptBegun(
  state: DirectState,
  attemptId: string,
  nowMs: number,
): DirectEffect[] {
  const attempt = state.attempts.get(attemptId);
  const serverState = attempt && findServerState(state, attempt);
  if (attempt === undefined || serverState === undefined) return [];
  if (!attempt.prediction.hasBegun) {
    attempt.begunAtMs = nowMs;
    state.crashEvidence.suspects.recordServerAlive(attempt.serverKey, attempt.prediction.sentAtMs);
    serverState.unansweredAttempts -= 1;
    const { sentAtMs } = attempt.prediction;
    countPrediction(state, attempt, nowMs - sentAtMs);
    serverState.answeredSentAtMs = Math.max(serverState.answeredSentAtMs, sentAtMs);
    const route = state.requests.get(attempt.requestId)?.attributes.route;
    if (route !== undefined) state.answerDelays.record(route.name, nowMs - sentAtMs);
  }
  recordHeard(attempt, serverState, nowMs);
  serverState.load.recordFirstEvent(attempt.prediction, nowMs);
  state.begunServerKeys.add(attempt.serverKey);
  serverState.health.recordResponse();
  return [];
}

/** Handles the delivery of stream events to the caller. */
export function onEventsDelivered(
  state: DirectState,
  requestId: string,
  lastEventId: string | undefined,
  nowMs: number,
): DirectEffect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  request.answerStarted = true;
  request.lastEventId = lastEventId ?? request.lastEventId;
  const { currentAttempt } = request;
  const serverState = currentAttempt && findServerState(state, currentAttempt);
  if (currentAttempt === undefined || serverState === undefined) return [];
  const { heardAtMs } = currentAttempt;
  if (heardAtMs !== undefined)
    state.eventGaps.record(request.attributes.route.name, nowMs - heardAtMs);
  recordHeard(currentAttempt, serverState, nowMs);
  serverState.health.recordResponse();
  return [];
}

function closeAttempt(
  state: DirectState,
  attempt: OpenAttempt,
  outcome: AttemptOutcome,
  nowMs: number,
): DirectEffect[] {
  state.attempts.delete(attempt.id);
  const { serverKey, begunAtMs, prediction } = attempt;
  const attributes = state.requests.get(attempt.requestId)?.attributes;
  const traits = attributes === undefined ? [] : listCrashTraits(attributes);
  const { sentAtMs } = prediction;
  const ended = { serverKey, outcome, traits, sentAtMs, begunAtMs };
  const effects = recordAttemptEnd(state.crashEvidence, ended, nowMs);
  const serverState = findServerState(state, attempt);
  if (serverState === undefined) return effects;
  if (!attempt.prediction.hasBegun) serverState.unansweredAttempts -= 1;
  state.endedServerKeys.add(attempt.serverKey);
  if (outcome === AttemptOutcome.Complete && attributes !== undefined)
    state.runDurations.record(attributes.route.name, nowMs - sentAtMs);
  serverState.load.recordEnd(attempt.prediction, nowMs, outcome === AttemptOutcome.Complete);
  serverState.health.recordOutcome(outcome, nowMs);
  return effects;
}

/** Outcomes that guarantee that the request did not run. */
const NOT_RUN_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.NotRun,
  AttemptOutcome.WrongServer,
  AttemptOutcome.Unsent,
  AttemptOutcome.Unopened,
]);
/** Outcomes of attempts that no server has seen. */
const UNSEEN_OUTCOMES = new Set<AttemptOutcome>([AttemptOutcome.Unsent, AttemptOutcome.Unopened]);

/** Outcomes after which another server may continue a stream or begin it anew. */
const RESUMABLE_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.Unknown,
  AttemptOutcome.Invalid,
]);

function canRetry(request: OpenRequest, outcome: AttemptOutcome): boolean {
  const { route } = request.attributes;
  if (NOT_RUN_OUTCOMES.has(outcome)) return true;
  if (request.possibleRuns >= route.maxAttempts) return false;
  if (route.retryPolicy === RetryPolicy.Any) return true;
  // A complete error response is the final answer; only an interrupted stream can be resumed, at a known event.
  const canContinue = !request.answerStarted || request.lastEventId !== undefined;
  return route.retryPolicy === RetryPolicy.Resume && RESUMABLE_OUTCOMES.has(outcome) && canContinue;
}

/** Returns the error response after the last attempt. */
function createFinalRefusal(
  outcome: AttemptOutcome,
  hasNotRun: boolean,
  isTooLate = false,
): Refusal {
  if (NOT_RUN_OUTCOMES.has(outcome) && hasNotRun) {
    const isUnopened = outcome === AttemptOutcome.Unopened;
    const code = isUnopened ? RefusalCode.RouterConnectionsFull : RefusalCode.Overloaded;
    return isTooLate ? createDrainingRefusal() : createNotRunRefusal(code, NO_SERVER_RETRY_MS);
  }
  return { status: 502, code: RefusalCode.OutcomeUnknown, ran: 'unknown', retryAfterMs: undefined };
}

function mayCrashServer(state: DirectState, attributes: RequestAttributes, nowMs: number): boolean {
  const { suspects } = state.crashEvidence;
  const isSuspected = suspects.isSuspected(listCrashTraits(attributes), nowMs);
  return isSuspected || remainingBlockMs(state, attributes, nowMs) > 0;
}

/** Sends the request to another server; undefined if no retry is possible, `isWorth` denies it or the retry budget is exhausted. */
function retry(
  state: DirectState,
  request: OpenRequest,
  outcome: AttemptOutcome,
  nowMs: number,
  isWorth: (best: Candidate) => boolean = () => true,
): DirectEffect[] | undefined {
  const { attributes } = request;
  if (!canRetry(request, outcome) || request.sentAttempts >= MAX_SENT_ATTEMPTS) return undefined;
  if (attributes.expiresAtMs - nowMs < MIN_RETRY_REMAINING_MS) return undefined;
  if (!canEndInDrain(state, attributes, nowMs)) return undefined;
  if (mayCrashServer(state, attributes, nowMs)) return undefined;
  const draw = (state.attemptCount * RETRY_DRAW_STEP) % 1;
  const best = chooseServer(state, request, draw, nowMs);
  if (best === undefined || !isWorth(best)) return undefined;
  const isWithinBudget =
    UNSEEN_OUTCOMES.has(outcome) ||
    state.retryBudget.tryAcquire(attributes.service, nowMs, state.routerCount);
  return isWithinBudget ? send(state, request, best, describeCandidate(best), nowMs) : undefined;
}

/** Finishes, retries or refuses a request whose attempt has ended. */
function settle(
  state: DirectState,
  request: OpenRequest,
  { outcome, detail }: { outcome: AttemptOutcome; detail: string },
  nowMs: number,
): DirectEffect[] {
  if (outcome === AttemptOutcome.Complete) return finish(state, request, nowMs);
  const retryEffects = retry(state, request, outcome, nowMs);
  if (retryEffects !== undefined) return retryEffects;
  if (outcome === AttemptOutcome.Failed && !request.answerStarted)
    return finish(state, request, nowMs);
  const tried = request.triedServerKeys.length;
  const isTooLate = !canEndInDrain(state, request.attributes, nowMs);
  const refusal = createFinalRefusal(outcome, request.possibleRuns === 0, isTooLate);
  return refuse(
    state,
    request,
    refusal,
    {
      server: request.triedServerKeys[tried - 1]!,
      detail,
      tried,
      ...describeVersion(request),
      ...(isTooLate ? describeDrain(state, request.attributes, nowMs) : {}),
    },
    nowMs,
  );
}

/** Handles the end of an attempt. */
export function onAttemptEnded(
  state: DirectState,
  attemptId: string,
  outcome: AttemptOutcome,
  detail: string,
  nowMs: number,
): DirectEffect[] {
  const attempt = state.attempts.get(attemptId);
  if (attempt === undefined) return [];
  const effects = closeAttempt(state, attempt, outcome, nowMs);
  const request = state.requests.get(attempt.requestId);
  if (request === undefined || request.currentAttempt !== attempt) return effects;
  request.currentAttempt = undefined;
  if (!NOT_RUN_OUTCOMES.has(outcome)) request.possibleRuns += 1;
  return [...effects, ...settle(state, request, { outcome, detail }, nowMs)];
}

/**
 * Handles an attempt whose connection has gone silent: a request that may be repeated is sent again, a stream goes on behind its last
 * event. Any other one is left to wait, since the server may be running it. The server isn't at fault.
 */
export function onConnectionSilent(
  state: DirectState,
  attemptId: string,
  nowMs: number,
): DirectEffect[] {
  const attempt = state.attempts.get(attemptId);
  const request = attempt && state.requests.get(attempt.requestId);
  if (attempt === undefined || request?.currentAttempt !== attempt) return [];
  attempt.isSilent = true;
  request.possibleRuns += 1;
  // The server may still run the first attempt, so a repeat takes capacity like a new request.
  const isWorth = (best: Candidate): boolean => isAdmitted(state, request.attributes, best, nowMs);
  const { triedServerKeys } = request;
  // The server isn't at fault, and it has the prompt in its cache.
  request.triedServerKeys = triedServerKeys.filter((key) => key !== attempt.serverKey);
  const retryEffects = retry(state, request, AttemptOutcome.Unknown, nowMs, isWorth);
  if (retryEffects === undefined) {
    request.triedServerKeys = triedServerKeys;
    request.possibleRuns -= 1;
    return [];
  }
  return [
    ...closeAttempt(state, attempt, AttemptOutcome.Cancelled, nowMs),
    { kind: 'cancel', attempt: attemptId },
    ...retryEffects,
  ];
}

function cancelCurrentAttempt(
  state: DirectState,
  request: OpenRequest,
  nowMs: number,
): DirectEffect[] {
  const { currentAttempt } = request;
  if (currentAttempt === undefined) return [];
  request.currentAttempt = undefined;
  closeAttempt(state, currentAttempt, AttemptOutcome.Cancelled, nowMs);
  return [{ kind: 'cancel', attempt: currentAttempt.id }];
}

/** Handles the disconnection of the caller. */
export function onCallerLeft(state: DirectState, requestId: string, nowMs: number): DirectEffect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  closeRequest(state, request, false, nowMs);
  return cancelCurrentAttempt(state, request, nowMs);
}

/** Ends a request whose attempt could not be sent because of an error in this router. */
export function onRequestFailed(
  state: DirectState,
  requestId: string,
  detail: string,
  nowMs: number,
): DirectEffect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  const refusal: Refusal =
    request.possibleRuns === 0
      ? { status: 500, code: RefusalCode.InternalError, ran: 'no', retryAfterMs: undefined }
      : createFinalRefusal(AttemptOutcome.Unknown, false);
  return [
    ...cancelCurrentAttempt(state, request, nowMs),
    ...refuse(state, request, refusal, { detail }, nowMs),
  ];
}

/** Refuses the requests whose deadline has passed and cancels their attempts. */
export function expireRequests(state: DirectState, nowMs: number): DirectEffect[] {
  return [...state.requests.values()]
    .filter(({ attributes }) => nowMs >= attributes.expiresAtMs)
    .flatMap((request) => {
      if (request.triedServerKeys.length === 0)
        return refuseResumption(state, request, ResumptionFailure.TimeOver, nowMs);
      const decisionInputs = { server: request.currentAttempt?.serverKey, detail: 'time over' };
      const refusal: Refusal = {
        status: 504,
        code: RefusalCode.TimedOut,
        ran: 'unknown',
        retryAfterMs: undefined,
      };
      return [
        ...cancelCurrentAttempt(state, request, nowMs),
        ...refuse(state, request, refusal, decisionInputs, nowMs),
      ];
    });
}

/** Gives all open requests their final answers. Only those that wait for the store's records certainly haven't run. */
export function endOpenRequests(state: DirectState, nowMs: number): DirectEffect[] {
  return [...state.requests.values()].flatMap((request) => {
    const server = request.currentAttempt?.serverKey;
    const decisionInputs = { detail: 'drain ended', ...(server === undefined ? {} : { server }) };
    const refusal =
      request.triedServerKeys.length === 0
        ? createDrainingRefusal()
        : createFinalRefusal(AttemptOutcome.Unknown, false);
    return [
      ...cancelCurrentAttempt(state, request, nowMs),
      ...refuse(state, request, refusal, decisionInputs, nowMs),
    ];
  });
}
