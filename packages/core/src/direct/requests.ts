/** Event handlers for requests and their attempts. */
import { admit } from './admission.js';
import { recordAttemptEnd } from './crash-evidence.js';
import type { DecisionInputs, DirectEffect, Refusal } from './events.js';
import { chooseServer, remainingRequestedWaitMs } from './placement.js';
import type { Candidate } from './placement.js';
import { listCrashTraits } from './crashes/crash-traits.js';
import { ownTokens, sharedParts } from './prompt-parts.js';
import { requestTokens } from './request-tokens.js';
import { recordSend } from './state.js';
import type { DirectState, OpenAttempt, OpenRequest } from './state.js';
import { AttemptOutcome, RefusalCode, RetryPolicy } from './types.js';
import type { RequestAttributes } from './types.js';

/** `Retry-After` if no server is available; about the interval at which unreachable servers are probed. */
const NO_SERVER_RETRY_MS = 500;
/** Maximum number of attempts per request: if several servers reject it, the others are likely to reject it too. */
const MAX_SENT_ATTEMPTS = 3;
/** Step between the sampling draws of successive retries: multiples of the golden ratio spread evenly. */
const RETRY_DRAW_STEP = 0.618;
/** Minimum time to the deadline for a retry. */
const MIN_RETRY_REMAINING_MS = 50;
function refuse(
  state: DirectState,
  request: OpenRequest,
  refusal: Refusal,
  decisionInputs: DecisionInputs,
): DirectEffect[] {
  state.requests.delete(request.id);
  state.totals.refused += 1;
  return [{ kind: 'refuse', request: request.id, refusal, decisionInputs }];
}

function createNotRunRefusal(code: RefusalCode, retryAfterMs: number): Refusal {
  return { status: 503, code, ran: 'no', retryAfterMs };
}

/** Jitter of `Retry-After` for a wait that servers asked for: callers that were refused together come back spread out. */
const WAIT_JITTER = 0.5;

function createNoServerRefusal(
  state: DirectState,
  { service }: RequestAttributes,
  draw: number,
  nowMs: number,
): Refusal {
  const waitMs = remainingRequestedWaitMs(state, service, nowMs) ?? 0;
  const retryAfterMs = Math.max(NO_SERVER_RETRY_MS, waitMs * (1 + WAIT_JITTER * draw));
  return createNotRunRefusal(RefusalCode.NoServer, retryAfterMs);
}

function countTokens(
  { totals }: DirectState,
  attributes: RequestAttributes,
  candidate: Candidate,
): void {
  const own = ownTokens(attributes.promptParts);
  const recomputed = candidate.recomputedTokens;
  totals.sent += 1;
  totals.ownTokens += own;
  totals.againTokens += recomputed;
  totals.keptTokens += Math.max(0, attributes.promptTokens - own - recomputed);
}

/** Records a new attempt at the chosen server in the state. */
function openAttempt(
  state: DirectState,
  request: OpenRequest,
  candidate: Candidate,
  nowMs: number,
): OpenAttempt {
  const { attributes } = request;
  const { server, serverState, predictedMs, prefillTokens } = candidate;
  const shared = sharedParts(attributes.promptParts);
  if (!serverState.load.prefixCache.containsAll(shared))
    serverState.unreportedParts.push(...shared);
  serverState.load.prefixCache.record(attributes.promptParts);
  serverState.unansweredAttempts += 1;
  recordSend(state, server, nowMs);
  state.attemptCount += 1;
  const attempt: OpenAttempt = {
    id: `${request.id}.${state.attemptCount}`,
    requestId: request.id,
    serverKey: server.key,
    prediction: serverState.load.recordSend(nowMs, prefillTokens),
    predictedMs,
    begunAtMs: undefined,
  };
  state.attempts.set(attempt.id, attempt);
  countTokens(state, attributes, candidate);
  return attempt;
}

function send(
  state: DirectState,
  request: OpenRequest,
  candidate: Candidate,
  decisionInputs: DecisionInputs,
  nowMs: number,
): DirectEffect[] {
  const { entry } = candidate.server;
  const attempt = openAttempt(state, request, candidate, nowMs);
  const isRetry = request.sentAttempts > 0;
  request.triedServerKeys.push(attempt.serverKey);
  request.sentAttempts += 1;
  request.currentAttempt = attempt;
  return [
    {
      kind: 'send',
      request: request.id,
      attempt: attempt.id,
      serverKey: attempt.serverKey,
      host: entry.host,
      port: entry.port,
      serverId: entry.id,
      remainingMs: request.attributes.expiresAtMs - nowMs,
      lastEventId: request.lastEventId,
      isRetry,
      decisionInputs: { ...decisionInputs, tried: request.triedServerKeys.length },
    },
  ];
}

function describeCandidate(candidate: Candidate): DecisionInputs {
  return {
    server: candidate.server.key,
    version: candidate.server.entry.softwareVersion,
    predictedMs: Math.round(candidate.predictedMs),
    waitMs: Math.round(candidate.waitMs),
    meanWaitMs: Math.round(candidate.meanWaitMs),
    readTokens: candidate.prefillTokens,
    running: candidate.serverState.load.running(),
  };
}

/** Returns the time for which a request remains blocked because such requests crash servers; 0 if it isn't. */
function remainingBlockMs(
  { crashEvidence }: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): number {
  return crashEvidence.blocks.remainingMs(listCrashTraits(attributes), nowMs);
}

/** Handles the arrival of a complete request. */
export function onRequest(
  state: DirectState,
  requestId: string,
  attributes: RequestAttributes,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const request: OpenRequest = {
    id: requestId,
    attributes,
    triedServerKeys: [],
    possibleRuns: 0,
    sentAttempts: 0,
    currentAttempt: undefined,
    answerStarted: false,
    lastEventId: undefined,
  };
  const blockMs = remainingBlockMs(state, attributes, nowMs);
  // Not counted as demand of its account, whose other requests are to be served.
  if (blockMs > 0)
    return refuse(state, request, createNotRunRefusal(RefusalCode.CrashingRequest, blockMs), {
      account: attributes.account,
    });
  const tokens = requestTokens(attributes);
  state.retryBudget.recordRequest(attributes.service, nowMs);
  state.serviceDemand.recordOwn(attributes.service, nowMs);
  // Computed before this request is recorded: it counts as unserved demand only once it has been refused.
  const shareUsed =
    attributes.account === undefined ? 0 : state.accountUsage.shareUsed(attributes.account, nowMs);
  if (attributes.account !== undefined)
    state.accountUsage.recordRequested(attributes.account, tokens, nowMs);
  const best = chooseServer(state, attributes, [], draw, nowMs);
  if (best === undefined)
    return refuse(state, request, createNoServerRefusal(state, attributes, draw, nowMs), {});
  const shortfall = state.accountUsage.shortfall(nowMs);
  const admission = admit(attributes, best, { used: shareUsed, shortfall }, draw);
  const decisionInputs = {
    ...describeCandidate(best),
    allowedMs: Math.round(admission.allowedMs),
    shareUsed: Math.round(shareUsed * 100) / 100,
    shortfall: Math.round(shortfall * 100) / 100,
    account: attributes.account,
  };
  if (!admission.admitted) {
    const code = shareUsed > 1 ? RefusalCode.AccountOverShare : RefusalCode.Overloaded;
    return refuse(
      state,
      request,
      createNotRunRefusal(code, admission.retryAfterMs),
      decisionInputs,
    );
  }
  if (attributes.account !== undefined)
    state.accountUsage.recordServed(attributes.account, tokens, nowMs);
  state.requests.set(requestId, request);
  return send(state, request, best, decisionInputs, nowMs);
}

function countPrediction({ totals }: DirectState, attempt: OpenAttempt, observedMs: number): void {
  totals.begun += 1;
  totals.predictedMs += attempt.predictedMs;
  totals.seenMs += observedMs;
  totals.errorMs += Math.abs(observedMs - attempt.predictedMs);
}

/** Handles the first event or the response head of an attempt. */
export function onAttemptBegun(
  state: DirectState,
  attemptId: string,
  nowMs: number,
): DirectEffect[] {
  const attempt = state.attempts.get(attemptId);
  const serverState = attempt && state.servers.get(attempt.serverKey);
  if (attempt === undefined || serverState === undefined) return [];
  if (!attempt.prediction.hasBegun) {
    attempt.begunAtMs = nowMs;
    state.crashEvidence.suspects.recordServerAlive(attempt.serverKey, attempt.prediction.sentAtMs);
    serverState.unansweredAttempts -= 1;
    countPrediction(state, attempt, nowMs - attempt.prediction.sentAtMs);
  }
  serverState.load.recordFirstEvent(attempt.prediction, nowMs);
  serverState.health.recordResponse();
  return [];
}

/** Handles the delivery of stream events to the caller. */
export function onEventsDelivered(
  state: DirectState,
  requestId: string,
  lastEventId: string | undefined,
): DirectEffect[] {
  const request = state.requests.get(requestId);
  if (request !== undefined) {
    request.answerStarted = true;
    request.lastEventId = lastEventId ?? request.lastEventId;
  }
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
  const serverState = state.servers.get(attempt.serverKey);
  if (serverState === undefined) return effects;
  if (!attempt.prediction.hasBegun) serverState.unansweredAttempts -= 1;
  state.endedServerKeys.add(attempt.serverKey);
  serverState.load.recordEnd(attempt.prediction, nowMs, outcome === AttemptOutcome.Complete);
  serverState.health.recordOutcome(outcome, nowMs);
  return effects;
}

/** Outcomes that guarantee that the request did not run. */
const NOT_RUN_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.NotRun,
  AttemptOutcome.WrongServer,
  AttemptOutcome.Unsent,
]);

function canRetry(request: OpenRequest, outcome: AttemptOutcome): boolean {
  const { route } = request.attributes;
  if (NOT_RUN_OUTCOMES.has(outcome)) return true;
  if (request.possibleRuns >= route.maxAttempts) return false;
  if (route.retryPolicy === RetryPolicy.Any) return true;
  // A complete error response is the final answer; only an interrupted stream can be resumed, at a known event.
  const canContinue = !request.answerStarted || request.lastEventId !== undefined;
  return (
    route.retryPolicy === RetryPolicy.Resume && outcome === AttemptOutcome.Unknown && canContinue
  );
}

/** Returns the error response after the last attempt. */
function createFinalRefusal(outcome: AttemptOutcome, hasNotRun: boolean): Refusal {
  if (NOT_RUN_OUTCOMES.has(outcome) && hasNotRun)
    return createNotRunRefusal(RefusalCode.Overloaded, NO_SERVER_RETRY_MS);
  return { status: 502, code: RefusalCode.OutcomeUnknown, ran: 'unknown', retryAfterMs: undefined };
}

function mayCrashServer(state: DirectState, attributes: RequestAttributes, nowMs: number): boolean {
  const { suspects } = state.crashEvidence;
  const isSuspected = suspects.isSuspected(listCrashTraits(attributes), nowMs);
  return isSuspected || remainingBlockMs(state, attributes, nowMs) > 0;
}

/** Sends the request to another server; undefined if no retry is possible or the retry budget is exhausted. */
function retry(
  state: DirectState,
  request: OpenRequest,
  outcome: AttemptOutcome,
  nowMs: number,
): DirectEffect[] | undefined {
  const { attributes } = request;
  if (!canRetry(request, outcome) || request.sentAttempts >= MAX_SENT_ATTEMPTS) return undefined;
  if (attributes.expiresAtMs - nowMs < MIN_RETRY_REMAINING_MS) return undefined;
  if (mayCrashServer(state, attributes, nowMs)) return undefined;
  const draw = (state.attemptCount * RETRY_DRAW_STEP) % 1;
  const best = chooseServer(state, attributes, request.triedServerKeys, draw, nowMs);
  if (best === undefined) return undefined;
  const isWithinBudget =
    outcome === AttemptOutcome.Unsent ||
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
  if (outcome === AttemptOutcome.Complete) return finish(state, request);
  const retryEffects = retry(state, request, outcome, nowMs);
  if (retryEffects !== undefined) return retryEffects;
  if (outcome === AttemptOutcome.Failed && !request.answerStarted) return finish(state, request);
  const tried = request.triedServerKeys.length;
  const refusal = createFinalRefusal(outcome, request.possibleRuns === 0);
  return refuse(state, request, refusal, {
    server: request.triedServerKeys[tried - 1]!,
    detail,
    tried,
  });
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

function finish(state: DirectState, request: OpenRequest): DirectEffect[] {
  state.requests.delete(request.id);
  return [{ kind: 'finish', request: request.id }];
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
  state.requests.delete(requestId);
  return cancelCurrentAttempt(state, request, nowMs);
}

/** Refuses the requests whose deadline has passed and cancels their attempts. */
export function expireRequests(state: DirectState, nowMs: number): DirectEffect[] {
  return [...state.requests.values()]
    .filter(({ attributes }) => nowMs >= attributes.expiresAtMs)
    .flatMap((request) => {
      const decisionInputs = { server: request.currentAttempt?.serverKey, detail: 'time over' };
      const refusal: Refusal = {
        status: 504,
        code: RefusalCode.TimedOut,
        ran: 'unknown',
        retryAfterMs: undefined,
      };
      return [
        ...cancelCurrentAttempt(state, request, nowMs),
        ...refuse(state, request, refusal, decisionInputs),
      ];
    });
}
