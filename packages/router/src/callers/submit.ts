/** Hands callers' requests to the router's reducer. */
import type { IncomingRequest, RouterProcessEvent } from '@kingcupsill/core';
import type { Context } from 'koa';

import type { ServiceRecord } from '../config-index/types.js';
import { getCaller } from './authenticate.js';
import { respondWithError } from './errors.js';
import { createKeyInfo, readIdempotencyKey } from './idempotency-key.js';
import type { PendingRequest } from './types.js';

/** What submitting needs. */
export interface SubmitOptions {
  dispatch(event: RouterProcessEvent): void;
  clock(): number;
  /** Wall-clock time in milliseconds. */
  wallClock(): number;
  /** Uniform random number in [0, 1). */
  random(): number;
  /** Registers a request until its connection has ended. */
  addRequest(held: PendingRequest): void;
}

/** A call of a service, read from HTTP. */
export interface ServiceCall {
  target: ServiceRecord;
  /** Path and query for the backend server. */
  path: string;
  body: Buffer;
  idempotent: boolean;
  sizeHints: Pick<IncomingRequest, 'promptTokens' | 'maxTokens' | 'bodyBytes'>;
}

const DEFAULT_QUEUE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_QUEUED = 1000;

/** Creates the function that submits a call; the answer is written by effects. */
export function createSubmit(options: SubmitOptions): (ctx: Context, call: ServiceCall) => void {
  const { dispatch, clock, wallClock, random, addRequest } = options;
  let nextRequest = 1;

  return (ctx, call) => {
    const keyRead = readIdempotencyKey(ctx.headers);
    if (!keyRead.ok) {
      respondWithError(ctx, keyRead.code);
      return;
    }
    const request = String(nextRequest);
    nextRequest += 1;
    ctx.respond = false;
    const held = heldRequest(ctx, call, request, keyRead.key !== null);
    addRequest(held);
    ctx.res.once('close', () => {
      if (!ctx.res.writableFinished) dispatch({ kind: 'request-gone', nowMs: clock(), request });
    });
    const info = requestInfo(ctx, call, request);
    if (keyRead.key !== null) info.claim = createKeyInfo(held, keyRead.key, wallClock());
    dispatch({ kind: 'request-arrived', nowMs: clock(), info, seed: random() });
  };
}

function heldRequest(
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

function requestInfo(ctx: Context, call: ServiceCall, request: string): IncomingRequest {
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
