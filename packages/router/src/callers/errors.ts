/** Error responses to callers: JSON with a stable code and a reliable `ran` field. */
import type { ServerResponse } from 'node:http';

import type { Context } from 'koa';

import type { PendingRequest } from './types.js';

/** HTTP status and message of each error code. Codes are part of the API and must not change. */
export const CALLER_ERRORS = {
  not_ready: { status: 503, message: 'This router has no configuration yet. Try another one.' },
  unknown_key: { status: 401, message: 'The API key is missing or unknown.' },
  service_not_allowed: { status: 403, message: 'The account may not reach this service.' },
  unknown_service: { status: 404, message: 'There is no such service.' },
  not_found: { status: 404, message: 'There is no such path.' },
  invalid_body: { status: 400, message: 'The body is not a valid JSON request.' },
  body_aborted: { status: 400, message: 'The body broke off.' },
  body_too_large: { status: 413, message: 'The body is larger than this router accepts.' },
  queue_full: { status: 429, message: 'Too many requests of this account wait. Come back later.' },
  queue_timeout: { status: 503, message: 'No capacity became free in time. Come back later.' },
  shutting_down: { status: 503, message: 'This router is shutting down. Try another one.' },
  retries_exhausted: { status: 502, message: 'Backend servers failed repeatedly.' },
  invalid_idempotency_key: { status: 400, message: 'The Idempotency-Key is empty or too long.' },
  in_progress: { status: 409, message: 'An earlier request with this key has not ended.' },
  idempotency_key_reused: { status: 422, message: 'The key was used for another request.' },
  claim_store_unavailable: {
    status: 503,
    message: 'It can not be checked whether the key was used. Come back later.',
  },
  answer_not_kept: { status: 409, message: 'The request ran; its answer is not kept.' },
  outcome_unknown: { status: 502, message: 'The request may have run; its answer was lost.' },
} as const;
export type CallerErrorCode = keyof typeof CALLER_ERRORS;

/** Whether the request ran. `no` is guaranteed; `unknown` means that it may have run. */
export type Ran = 'no' | 'unknown';

const MS_PER_SECOND = 1000;

/** Returns the body of an error response in the format of the OpenAI API. */
export function errorBody(code: CallerErrorCode, ran: Ran): string {
  const { message } = CALLER_ERRORS[code];
  return JSON.stringify({ error: { message, type: 'kingcupsill_error', code, ran } });
}

/** Sends an error response. `retryAfterMs` is rounded up to whole seconds. */
export function sendError(
  res: ServerResponse,
  code: CallerErrorCode,
  ran: Ran,
  retryAfterMs: number | null = null,
): void {
  if (res.destroyed) return;
  const headers: Record<string, string> = { 'content-type': 'application/json' };
  if (retryAfterMs !== null) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  res.writeHead(CALLER_ERRORS[code].status, headers);
  res.end(errorBody(code, ran));
}

/** Aborts a response whose head was sent, so that the caller can't take it for a complete one. An event stream gets a final error event. */
export function abortResponse(
  { res, head }: Pick<PendingRequest, 'res' | 'head'>,
  code: CallerErrorCode,
  ran: Ran,
): void {
  if (res.destroyed) return;
  const isEventStream = String(head?.headers['content-type']).startsWith('text/event-stream');
  if (!isEventStream) {
    res.destroy();
    return;
  }
  res.write(`data: ${errorBody(code, ran)}\n\n`, () => res.destroy());
}

/** Sends an error response to a request that was not queued. */
export function respondWithError(
  ctx: Context,
  code: CallerErrorCode,
  retryAfterMs: number | null = null,
): void {
  ctx.respond = false;
  sendError(ctx.res, code, 'no', retryAfterMs);
}
