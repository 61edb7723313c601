/** Handlers of requests and their attempts. */
import { admit } from './admission.js';
import type { DecisionInputs, DirectEffect, Refusal } from './events.js';
import { chooseServer } from './placement.js';
import type { Candidate } from './placement.js';
import { ownTokens, sharedParts } from './prompt-parts.js';
import type { DirectState, OpenAttempt, OpenRequest } from './state.js';
import { AttemptOutcome, RefusalCode, RetryPolicy } from './types.js';
import type { RequestAttributes } from './types.js';

/** Retry-After where no server can be reached: trial requests find out about as often. */
const NO_SERVER_RETRY_MS = 500;
/** Most attempts for one request: where several servers reject it, the others mostly do too. */
const MOST_SENDS = 3;
/** Least time that is left for a repeat to be worth sending. */
const LEAST_LEFT_MS = 50;
/** Tokens that a generated token counts for in an account's share, as the configuration states capacity. */
const GENERATED_TOKEN_WEIGHT = 2;
/** Part of the most output tokens that is expected; the rest of the estimate's error evens out over a window. */
const EXPECTED_OUTPUT_PART = 0.5;

/** Tokens that a request counts for in its account's share. */
export function requestTokens(facts: RequestAttributes): number {
  return facts.promptTokens + GENERATED_TOKEN_WEIGHT * EXPECTED_OUTPUT_PART * facts.maxOutputTokens;
}

function refuse(
  state: DirectState,
  request: OpenRequest,
  refusal: Refusal,
  why: DecisionInputs,
): DirectEffect[] {
  state.requests.delete(request.id);
  state.totals.refused += 1;
  return [{ kind: 'refuse', request: request.id, refusal, decisionInputs: why }];
}

function notRun(code: RefusalCode, retryAfterMs: number): Refusal {
  return { status: 503, code, ran: 'no', retryAfterMs };
}

function countTokens({ totals }: DirectState, facts: RequestAttributes, best: Candidate): void {
  const own = ownTokens(facts.promptParts);
  const again = best.recomputedTokens;
  totals.sent += 1;
  totals.ownTokens += own;
  totals.againTokens += again;
  totals.keptTokens += Math.max(0, facts.promptTokens - own - again);
}

/** Books an attempt at the chosen server. */
function openAttempt(
  state: DirectState,
  request: OpenRequest,
  best: Candidate,
  nowMs: number,
): OpenAttempt {
  const { attributes: facts } = request;
  const { server, serverState: known, predictedMs, prefillTokens: readTokens } = best;
  const shared = sharedParts(facts.promptParts);
  if (!known.load.prefixCache.containsAll(shared)) known.unreportedParts.push(...shared);
  known.load.prefixCache.record(facts.promptParts);
  known.unansweredAttempts += 1;
  state.attemptCount += 1;
  const open: OpenAttempt = {
    id: `${request.id}.${state.attemptCount}`,
    requestId: request.id,
    serverKey: server.key,
    prediction: known.load.recordSend(nowMs, readTokens),
    predictedMs,
  };
  state.attempts.set(open.id, open);
  countTokens(state, facts, best);
  return open;
}

function send(
  state: DirectState,
  request: OpenRequest,
  best: Candidate,
  why: DecisionInputs,
  nowMs: number,
): DirectEffect[] {
  const { entry } = best.server;
  const open = openAttempt(state, request, best, nowMs);
  const repeat = request.sentAttempts > 0;
  request.triedServerKeys.push(open.serverKey);
  request.sentAttempts += 1;
  request.currentAttempt = open;
  return [
    {
      kind: 'send',
      request: request.id,
      attempt: open.id,
      serverKey: open.serverKey,
      host: entry.host,
      port: entry.port,
      serverId: entry.id,
      remainingMs: request.attributes.expiresAtMs - nowMs,
      lastEventId: request.lastEventId,
      isRetry: repeat,
      decisionInputs: { ...why, tried: request.triedServerKeys.length },
    },
  ];
}

function describe(best: Candidate): DecisionInputs {
  return {
    server: best.server.key,
    predictedMs: Math.round(best.predictedMs),
    waitMs: Math.round(best.waitMs),
    meanWaitMs: Math.round(best.meanWaitMs),
    readTokens: best.prefillTokens,
    running: best.serverState.load.running(),
  };
}

/** A request arrived whole. */
export function onRequest(
  state: DirectState,
  id: string,
  facts: RequestAttributes,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const request: OpenRequest = {
    id,
    attributes: facts,
    triedServerKeys: [],
    possibleRuns: 0,
    sentAttempts: 0,
    currentAttempt: undefined,
    answerStarted: false,
    lastEventId: undefined,
  };
  const tokens = requestTokens(facts);
  state.retryBudget.recordRequest(facts.service, nowMs);
  // Before this request counts as asked for: it is not short until it is refused.
  const shareUsed =
    facts.account === undefined ? 0 : state.accountUsage.shareUsed(facts.account, nowMs);
  if (facts.account !== undefined) state.accountUsage.recordRequested(facts.account, tokens, nowMs);
  const best = chooseServer(state, facts, [], nowMs);
  if (best === undefined) {
    return refuse(state, request, notRun(RefusalCode.NoServer, NO_SERVER_RETRY_MS), {});
  }
  const admission = admit(facts, best, shareUsed, draw);
  const why = {
    ...describe(best),
    allowedMs: Math.round(admission.allowedMs),
    shareUsed,
  };
  if (!admission.admitted) {
    const code = shareUsed > 1 ? RefusalCode.AccountOverShare : RefusalCode.Overloaded;
    return refuse(state, request, notRun(code, admission.retryAfterMs), why);
  }
  if (facts.account !== undefined) state.accountUsage.recordServed(facts.account, tokens, nowMs);
  state.requests.set(id, request);
  return send(state, request, best, why, nowMs);
}

function countPrediction({ totals }: DirectState, open: OpenAttempt, seenMs: number): void {
  totals.begun += 1;
  totals.predictedMs += open.predictedMs;
  totals.seenMs += seenMs;
  totals.errorMs += Math.abs(seenMs - open.predictedMs);
}

/** The first event or the head of an answer came. */
export function onAttemptBegun(state: DirectState, attempt: string, nowMs: number): DirectEffect[] {
  const open = state.attempts.get(attempt);
  const known = open && state.servers.get(open.serverKey);
  if (open === undefined || known === undefined) return [];
  if (!open.prediction.hasBegun) {
    known.unansweredAttempts -= 1;
    countPrediction(state, open, nowMs - open.prediction.sentAtMs);
  }
  known.load.recordFirstEvent(open.prediction, nowMs);
  known.health.recordResponse();
  return [];
}

/** Events of a stream went to the caller. */
export function onEventsDelivered(
  state: DirectState,
  id: string,
  lastEventId: string,
): DirectEffect[] {
  const request = state.requests.get(id);
  if (request !== undefined) {
    request.answerStarted = true;
    request.lastEventId = lastEventId;
  }
  return [];
}

function closeAttempt(
  state: DirectState,
  open: OpenAttempt,
  end: AttemptOutcome,
  nowMs: number,
): void {
  state.attempts.delete(open.id);
  const known = state.servers.get(open.serverKey);
  if (known === undefined) return;
  if (!open.prediction.hasBegun) known.unansweredAttempts -= 1;
  known.load.recordEnd(open.prediction, nowMs, end === AttemptOutcome.Complete);
  known.health.recordOutcome(end, nowMs);
}

/** Ends after which the request surely hasn't run. */
const NOT_RUN = new Set<AttemptOutcome>([
  AttemptOutcome.NotRun,
  AttemptOutcome.WrongServer,
  AttemptOutcome.Unsent,
]);

function mayRepeat(request: OpenRequest, end: AttemptOutcome): boolean {
  const { route } = request.attributes;
  if (NOT_RUN.has(end)) return true;
  if (request.possibleRuns >= route.maxAttempts) return false;
  if (route.retryPolicy === RetryPolicy.Any) return true;
  // A failure that the server answered in full is the answer; only a stream that broke off can go on.
  return route.retryPolicy === RetryPolicy.Resume && end === AttemptOutcome.Unknown;
}

/** The answer where no further attempt is made. */
function finalRefusal(end: AttemptOutcome, nothingRan: boolean): Refusal {
  if (NOT_RUN.has(end) && nothingRan) return notRun(RefusalCode.Overloaded, NO_SERVER_RETRY_MS);
  return { status: 502, code: RefusalCode.OutcomeUnknown, ran: 'unknown', retryAfterMs: undefined };
}

function repeatElsewhere(
  state: DirectState,
  request: OpenRequest,
  end: AttemptOutcome,
  nowMs: number,
): DirectEffect[] | undefined {
  const { attributes: facts } = request;
  if (!mayRepeat(request, end) || request.sentAttempts >= MOST_SENDS) return undefined;
  if (facts.expiresAtMs - nowMs < LEAST_LEFT_MS) return undefined;
  const best = chooseServer(state, facts, request.triedServerKeys, nowMs);
  if (best === undefined) return undefined;
  const paid =
    end === AttemptOutcome.Unsent ||
    state.retryBudget.tryAcquire(facts.service, nowMs, state.routerCount);
  return paid ? send(state, request, best, describe(best), nowMs) : undefined;
}

/** An attempt ended. */
export function onAttemptEnded(
  state: DirectState,
  attempt: string,
  end: AttemptOutcome,
  detail: string,
  nowMs: number,
): DirectEffect[] {
  const open = state.attempts.get(attempt);
  if (open === undefined) return [];
  closeAttempt(state, open, end, nowMs);
  const request = state.requests.get(open.requestId);
  if (request === undefined || request.currentAttempt !== open) return [];
  request.currentAttempt = undefined;
  if (!NOT_RUN.has(end)) request.possibleRuns += 1;
  if (end === AttemptOutcome.Complete) return finish(state, request);
  const repeated = repeatElsewhere(state, request, end, nowMs);
  if (repeated !== undefined) return repeated;
  if (end === AttemptOutcome.Failed && !request.answerStarted) return finish(state, request);
  const why = { server: open.serverKey, detail, tried: request.triedServerKeys.length };
  return refuse(state, request, finalRefusal(end, request.possibleRuns === 0), why);
}

function finish(state: DirectState, request: OpenRequest): DirectEffect[] {
  state.requests.delete(request.id);
  return [{ kind: 'finish', request: request.id }];
}

function cancelCurrent(state: DirectState, request: OpenRequest, nowMs: number): DirectEffect[] {
  const { currentAttempt: current } = request;
  if (current === undefined) return [];
  request.currentAttempt = undefined;
  closeAttempt(state, current, AttemptOutcome.Cancelled, nowMs);
  return [{ kind: 'cancel', attempt: current.id }];
}

/** The caller closed its connection. */
export function onCallerLeft(state: DirectState, id: string, nowMs: number): DirectEffect[] {
  const request = state.requests.get(id);
  if (request === undefined) return [];
  state.requests.delete(id);
  return cancelCurrent(state, request, nowMs);
}

/** Ends requests whose time is over. */
export function expireRequests(state: DirectState, nowMs: number): DirectEffect[] {
  return [...state.requests.values()]
    .filter(({ attributes: facts }) => nowMs >= facts.expiresAtMs)
    .flatMap((request) => {
      const why = { server: request.currentAttempt?.serverKey, detail: 'time over' };
      const refusal: Refusal = {
        status: 504,
        code: RefusalCode.TimedOut,
        ran: 'unknown',
        retryAfterMs: undefined,
      };
      return [...cancelCurrent(state, request, nowMs), ...refuse(state, request, refusal, why)];
    });
}
