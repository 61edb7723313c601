/** Ends of requests: complete answers and refusals. */
import type { DecisionInputs, DirectEffect, Refusal } from './events.js';
import { describeVersion } from './dispatch.js';
import { explainNoServer, Ineligibility } from './servers/eligibility.js';
import type { NoServerReason } from './servers/eligibility.js';
import type { DirectState, OpenRequest } from './state.js';
import { RefusalCode } from './types.js';

/** `Retry-After` if no server is available; about the interval at which unreachable servers are probed. */
export const NO_SERVER_RETRY_MS = 500;

/** Removes a request whose answer has ended. */
export function closeRequest(
  { requests, versions: { journal } }: DirectState,
  { id, attributes: { streamId, resumeAfter, route }, answerStarted }: OpenRequest,
  isComplete: boolean,
  nowMs: number,
): void {
  requests.delete(id);
  if (streamId === undefined) return;
  if (answerStarted || resumeAfter !== undefined)
    journal.end(streamId, isComplete, route.timeoutMs, nowMs);
  else journal.forget(streamId);
}

/** Refuses a request and removes it. */
export function refuse(
  state: DirectState,
  request: OpenRequest,
  refusal: Refusal,
  decisionInputs: DecisionInputs,
  nowMs: number,
): DirectEffect[] {
  closeRequest(state, request, false, nowMs);
  state.totals.refused += 1;
  return [{ kind: 'refuse', request: request.id, refusal, decisionInputs }];
}

/** Status of refusals whose cause is the caller's own usage (RFC 6585); the others have 503. */
const STATUS_BY_CODE: Partial<Record<RefusalCode, number>> = {
  [RefusalCode.AccountOverShare]: 429,
};
const DEFAULT_STATUS = 503;

/** Returns the refusal of a request that has not run. */
export function createNotRunRefusal(code: RefusalCode, retryAfterMs: number): Refusal {
  return { status: STATUS_BY_CODE[code] ?? DEFAULT_STATUS, code, ran: 'no', retryAfterMs };
}

/** `Retry-After` of a router that drains: a retry reaches another router at once. */
const DRAINING_RETRY_MS = 50;

/** Returns the refusal of a request that a draining router doesn't send to a server. */
export function createDrainingRefusal(): Refusal {
  return createNotRunRefusal(RefusalCode.ShuttingDown, DRAINING_RETRY_MS);
}

/** Jitter of `Retry-After` for a wait that servers asked for: callers that were refused together come back spread out. */
const WAIT_JITTER = 0.5;

/** Codes of refusals that tell the caller why no server takes its request. */
const CODE_BY_REASON: Partial<Record<Ineligibility, RefusalCode>> = {
  [Ineligibility.Region]: RefusalCode.NoServerInRegions,
};

/** Returns the refusal of a request that no server may get. */
function createNoServerRefusal({ reason, waitMs }: NoServerReason, draw: number): Refusal {
  const knownWaitMs = Number.isFinite(waitMs) ? waitMs : 0;
  const retryAfterMs = Math.max(NO_SERVER_RETRY_MS, knownWaitMs * (1 + WAIT_JITTER * draw));
  const code = (reason && CODE_BY_REASON[reason]) ?? RefusalCode.NoServer;
  return createNotRunRefusal(code, retryAfterMs);
}

/** Refuses a request that no server may get, with the reasons. */
export function refuseWithoutServer(
  state: DirectState,
  request: OpenRequest,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const reason = explainNoServer(state, request, nowMs);
  const { account } = request.attributes;
  const ineligible = reason.serversByReason;
  return refuse(
    state,
    request,
    createNoServerRefusal(reason, draw),
    { account, ineligible, ...describeVersion(request) },
    nowMs,
  );
}

/** Completes the answer. */
export function finish(state: DirectState, request: OpenRequest, nowMs: number): DirectEffect[] {
  closeRequest(state, request, true, nowMs);
  return [{ kind: 'finish', request: request.id }];
}
