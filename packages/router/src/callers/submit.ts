/** Submission of callers' requests to the router's reducer. */
import type { IncomingRequest, RouterProcessEvent } from '@kingcupsill/core';
import type { Context } from 'koa';

import type { ServiceRecord } from '../config-index/types.js';
import { getCaller } from './authenticate.js';
import { respondWithError } from './errors.js';
import { createKeyInfo, readIdempotencyKey } from './idempotency-key.js';
import type { PendingRequest } from './types.js';

/** Dependencies of the submit function. */
export interface SubmitOptions {
  dispatch(event: RouterProcessEvent): void;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  /** Current wall-clock time in milliseconds. */
  wallClock(): number;
  /** Returns a uniformly distributed random number in [0, 1). */
  random(): number;
  /** Registers a request for as long as effects may refer to it. */
  addRequest(pending: PendingRequest): void;
}

/** Parsed HTTP request to a service. */
export interface ServiceCall {
  target: ServiceRecord;
  /** Path and query sent to the backend server. */
  path: string;
  body: Buffer;
  idempotent: boolean;
  /** Inputs of the cost estimate. */
  sizeHints: Pick<IncomingRequest, 'promptTokens' | 'maxTokens' | 'bodyBytes'>;
}

const DEFAULT_QUEUE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_QUEUED = 1000;

/** Creates the function that submits a call to the reducer. The response is written by effect handlers. */
export function createSubmit(options: SubmitOptions): (ctx: Context, call: ServiceCall) => void {
  const { dispatch, clock, wallClock, random, addRequest } = options;
  let nextRequestId = 1;

  return (ctx, call) => {
    const keyOutcome = readIdempotencyKey(ctx.headers);
    if (!keyOutcome.ok) {
      respondWithError(ctx, keyOutcome.code);
      return;
    }
    const request = String(nextRequestId);
    nextRequestId += 1;
    ctx.respond = false;
    const pending = createPendingRequest(ctx, call, request, keyOutcome.key !== null);
    addRequest(pending);
    ctx.res.once('close', () => {
      if (!ctx.res.writableFinished) dispatch({ kind: 'request-gone', nowMs: clock(), request });
    });
    const info = createRequestInfo(ctx, call, request);
    if (keyOutcome.key !== null) info.claim = createKeyInfo(pending, keyOutcome.key, wallClock());
    dispatch({ kind: 'request-arrived', nowMs: clock(), info, seed: random() });
  };
}

function createPendingRequest(
  ctx: Context,
  call: ServiceCall,
  request: string,
  hasIdempotencyKey: boolean,
): PendingRequest {
  const headers = { ...ctx.headers };
  delete headers.authorization;
  return {
    request,
    account: getCaller(ctx).id,
    service: call.target.id,
    method: ctx.method,
    path: call.path,
    headers,
    body: call.body,
    res: ctx.res,
    head: null,
    bufferedChunks: [],
    receivedBytes: 0,
    backend: '',
    recordedChunks: null,
    hasIdempotencyKey,
    headRelayed: false,
  };
}

function createRequestInfo(ctx: Context, call: ServiceCall, request: string): IncomingRequest {
  const { id, account } = getCaller(ctx);
  const { target, idempotent, sizeHints } = call;
  return {
    request,
    account: id,
    service: target.id,
    pool: target.service.pool,
    share: account.share,
    idempotent,
    ...sizeHints,
    queueTimeoutMs: target.service.queueTimeoutMs ?? DEFAULT_QUEUE_TIMEOUT_MS,
    maxQueued: account.maxQueued ?? DEFAULT_MAX_QUEUED,
  };
}
