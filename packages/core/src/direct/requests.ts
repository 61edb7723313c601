/** Handlers of requests and their attempts. */
import { admit } from './admission.js';
import type { DecisionInputs, DirectEffect, Refusal } from './events.js';
import { chooseServer } from './placement.js';
import type { Candidate } from './placement.js';
import { ownTokens, sharedParts } from './prompt.js';
import type { DirectState, OpenAttempt, OpenRequest } from './state.js';
import { AttemptEnd, RefusalCode, RepeatRule } from './types.js';
import type { RequestFacts } from './types.js';

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
export function requestTokens(facts: RequestFacts): number {
  return facts.promptTokens + GENERATED_TOKEN_WEIGHT * EXPECTED_OUTPUT_PART * facts.outputTokens;
}

function refuse(
  state: DirectState,
  request: OpenRequest,
  refusal: Refusal,
  why: DecisionInputs,
): DirectEffect[] {
  state.requests.delete(request.request);
  state.totals.refused += 1;
  return [{ kind: 'refuse', request: request.request, refusal, why }];
}

function notRun(code: RefusalCode, retryAfterMs: number): Refusal {
  return { status: 503, code, ran: 'no', retryAfterMs };
}

function countTokens({ totals }: DirectState, facts: RequestFacts, best: Candidate): void {
  const own = ownTokens(facts.parts);
  const again = best.againTokens;
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
  const { facts } = request;
  const { server, known, predictedMs, readTokens } = best;
  const shared = sharedParts(facts.parts);
  if (!known.load.parts.keepsAll(shared)) known.unreportedParts.push(...shared);
  known.load.parts.note(facts.parts);
  known.trials += 1;
  state.attemptsMade += 1;
  const open: OpenAttempt = {
    attempt: `${request.request}.${state.attemptsMade}`,
    request: request.request,
    server: server.key,
    ticket: known.load.send(nowMs, readTokens),
    predictedMs,
  };
  state.attempts.set(open.attempt, open);
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
  const repeat = request.sends > 0;
  request.tried.push(open.server);
  request.sends += 1;
  request.current = open;
  return [
    {
      kind: 'send',
      request: request.request,
      attempt: open.attempt,
      server: open.server,
      host: entry.host,
      port: entry.port,
      serverId: entry.id,
      leftMs: request.facts.expiresAtMs - nowMs,
      lastEventId: request.lastEventId,
      repeat,
      why: { ...why, tried: request.tried.length },
    },
  ];
}

function describe(best: Candidate): DecisionInputs {
  return {
    server: best.server.key,
    predictedMs: Math.round(best.predictedMs),
    waitMs: Math.round(best.waitMs),
    meanWaitMs: Math.round(best.meanWaitMs),
    readTokens: best.readTokens,
    running: best.known.load.running(),
  };
}

/** A request arrived whole. */
export function onRequest(
  state: DirectState,
  id: string,
  facts: RequestFacts,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const request: OpenRequest = {
    request: id,
    facts,
    tried: [],
    runs: 0,
    sends: 0,
    current: undefined,
    delivering: false,
    lastEventId: undefined,
  };
  const tokens = requestTokens(facts);
  state.repeats.noteRequest(facts.service, nowMs);
  // Before this request counts as asked for: it is not short until it is refused.
  const shareUsed = facts.account === undefined ? 0 : state.usage.shareUsed(facts.account, nowMs);
  if (facts.account !== undefined) state.usage.noteAsked(facts.account, tokens, nowMs);
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
  if (facts.account !== undefined) state.usage.noteServed(facts.account, tokens, nowMs);
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
  const known = open && state.servers.get(open.server);
  if (open === undefined || known === undefined) return [];
  if (!open.ticket.begun) {
    known.trials -= 1;
    countPrediction(state, open, nowMs - open.ticket.sentAtMs);
  }
  known.load.begin(open.ticket, nowMs);
  known.health.noteAlive();
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
    request.delivering = true;
    request.lastEventId = lastEventId;
  }
  return [];
}

function closeAttempt(state: DirectState, open: OpenAttempt, end: AttemptEnd, nowMs: number): void {
  state.attempts.delete(open.attempt);
  const known = state.servers.get(open.server);
  if (known === undefined) return;
  if (!open.ticket.begun) known.trials -= 1;
  known.load.end(open.ticket, nowMs, end === AttemptEnd.Complete);
  known.health.note(end, nowMs);
}

/** Ends after which the request surely hasn't run. */
const NOT_RUN = new Set<AttemptEnd>([AttemptEnd.NotRun, AttemptEnd.WrongServer, AttemptEnd.Unsent]);

function mayRepeat(request: OpenRequest, end: AttemptEnd): boolean {
  const { route } = request.facts;
  if (NOT_RUN.has(end)) return true;
  if (request.runs >= route.maxAttempts) return false;
  if (route.repeat === RepeatRule.Any) return true;
  // A failure that the server answered in full is the answer; only a stream that broke off can go on.
  return route.repeat === RepeatRule.Resume && end === AttemptEnd.Unknown;
}

/** The answer where no further attempt is made. */
function finalRefusal(end: AttemptEnd, nothingRan: boolean): Refusal {
  if (NOT_RUN.has(end) && nothingRan) return notRun(RefusalCode.Overloaded, NO_SERVER_RETRY_MS);
  return { status: 502, code: RefusalCode.OutcomeUnknown, ran: 'unknown', retryAfterMs: undefined };
}

function repeatElsewhere(
  state: DirectState,
  request: OpenRequest,
  end: AttemptEnd,
  nowMs: number,
): DirectEffect[] | undefined {
  const { facts } = request;
  if (!mayRepeat(request, end) || request.sends >= MOST_SENDS) return undefined;
  if (facts.expiresAtMs - nowMs < LEAST_LEFT_MS) return undefined;
  const best = chooseServer(state, facts, request.tried, nowMs);
  if (best === undefined) return undefined;
  const paid =
    end === AttemptEnd.Unsent || state.repeats.tryTake(facts.service, nowMs, state.routers);
  return paid ? send(state, request, best, describe(best), nowMs) : undefined;
}

/** An attempt ended. */
export function onAttemptEnded(
  state: DirectState,
  attempt: string,
  end: AttemptEnd,
  detail: string,
  nowMs: number,
): DirectEffect[] {
  const open = state.attempts.get(attempt);
  if (open === undefined) return [];
  closeAttempt(state, open, end, nowMs);
  const request = state.requests.get(open.request);
  if (request === undefined || request.current !== open) return [];
  request.current = undefined;
  if (!NOT_RUN.has(end)) request.runs += 1;
  if (end === AttemptEnd.Complete) return finish(state, request);
  const repeated = repeatElsewhere(state, request, end, nowMs);
  if (repeated !== undefined) return repeated;
  if (end === AttemptEnd.Failed && !request.delivering) return finish(state, request);
  const why = { server: open.server, detail, tried: request.tried.length };
  return refuse(state, request, finalRefusal(end, request.runs === 0), why);
}

function finish(state: DirectState, request: OpenRequest): DirectEffect[] {
  state.requests.delete(request.request);
  return [{ kind: 'finish', request: request.request }];
}

function cancelCurrent(state: DirectState, request: OpenRequest, nowMs: number): DirectEffect[] {
  const { current } = request;
  if (current === undefined) return [];
  request.current = undefined;
  closeAttempt(state, current, AttemptEnd.Cancelled, nowMs);
  return [{ kind: 'cancel', attempt: current.attempt }];
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
    .filter(({ facts }) => nowMs >= facts.expiresAtMs)
    .flatMap((request) => {
      const why = { server: request.current?.server, detail: 'time over' };
      const refusal: Refusal = {
        status: 504,
        code: RefusalCode.TimedOut,
        ran: 'unknown',
        retryAfterMs: undefined,
      };
      return [...cancelCurrent(state, request, nowMs), ...refuse(state, request, refusal, why)];
    });
}
