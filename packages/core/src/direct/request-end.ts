/** Ends of requests: complete answers and refusals. */
import type { DecisionInputs, DirectEffect, Refusal } from './events.js';
import { remainingRequestedWaitMs } from './placement.js';
import type { DirectState, OpenRequest } from './state.js';
import { RefusalCode } from './types.js';
import type { RequestAttributes } from './types.js';

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

/** Returns the refusal of a request for which no server is available. */
export function createNoServerRefusal(
  state: DirectState,
  { service }: RequestAttributes,
  draw: number,
  nowMs: number,
): Refusal {
  const waitMs = remainingRequestedWaitMs(state, service, nowMs) ?? 0;
  const retryAfterMs = Math.max(NO_SERVER_RETRY_MS, waitMs * (1 + WAIT_JITTER * draw));
  return createNotRunRefusal(RefusalCode.NoServer, retryAfterMs);
}

/** Completes the answer. */
export function finish(state: DirectState, request: OpenRequest, nowMs: number): DirectEffect[] {
  closeRequest(state, request, true, nowMs);
  return [{ kind: 'finish', request: request.id }];
}
