/** Error answers to callers: JSON with a stable code and a truthful `ran`. */
import type { ServerResponse } from 'node:http';

import type { Context } from 'koa';

import type { PendingRequest } from './types.js';

/** Stable error codes and the HTTP status of each. */
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

/** Whether the request ran: `no` is certain. */
export type Ran = 'no' | 'unknown';

const MS_PER_SECOND = 1000;

/** Body of an error answer, in the shape that OpenAI clients read. */
export function errorBody(code: CallerErrorCode, ran: Ran): string {
  const { message } = CALLER_ERRORS[code];
  return JSON.stringify({ error: { message, type: 'kingcupsill_error', code, ran } });
}

/** Sends an error answer. `retryAfterMs` is rounded up to seconds. */
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

/** Ends an answer that has begun, so that it can't be taken for a whole one. */
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

/** Answers a request that was refused before it reached a queue. */
export function respondWithError(
  ctx: Context,
  code: CallerErrorCode,
  retryAfterMs: number | null = null,
): void {
  ctx.respond = false;
  sendError(ctx.res, code, 'no', retryAfterMs);
}
