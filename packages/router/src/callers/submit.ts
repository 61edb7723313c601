/** Hands callers' requests to the router's reducer. */
import type { IncomingRequest, RouterProcessEvent } from '@kingcupsill/core';
import type { Context } from 'koa';

import type { ServiceRecord } from '../directory/types.js';
import { callerOf } from './authenticate.js';
import { fail } from './errors.js';
import { claimOf, readIdempotencyKey } from './idempotency-key.js';
import type { HeldRequest } from './types.js';

/** What submitting needs. */
export interface SubmitOptions {
  dispatch(event: RouterProcessEvent): void;
  clock(): number;
  /** Wall-clock time in milliseconds. */
  wallClock(): number;
  /** Uniform random number in [0, 1). */
  random(): number;
  /** Registers a request until its connection has ended. */
  hold(held: HeldRequest): void;
}

/** A call of a service, read from HTTP. */
export interface ServiceCall {
  target: ServiceRecord;
  /** Path and query for the backend server. */
  path: string;
  body: Buffer;
  idempotent: boolean;
  hints: Pick<IncomingRequest, 'promptTokens' | 'maxTokens' | 'bodyBytes'>;
}

const DEFAULT_QUEUE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_QUEUED = 1000;

/** Creates the function that submits a call; the answer is written by effects. */
export function createSubmit(options: SubmitOptions): (ctx: Context, call: ServiceCall) => void {
  const { dispatch, clock, wallClock, random, hold } = options;
  let nextRequest = 1;

  return (ctx, call) => {
    const keyRead = readIdempotencyKey(ctx.headers);
    if (!keyRead.ok) {
      fail(ctx, keyRead.code);
      return;
    }
    const request = String(nextRequest);
    nextRequest += 1;
    ctx.respond = false;
    const held = heldRequest(ctx, call, request, keyRead.key !== null);
    hold(held);
    ctx.res.once('close', () => {
      if (!ctx.res.writableFinished) dispatch({ kind: 'request-gone', nowMs: clock(), request });
    });
    const info = requestInfo(ctx, call, request);
    if (keyRead.key !== null) info.claim = claimOf(held, keyRead.key, wallClock());
    dispatch({ kind: 'request-arrived', nowMs: clock(), info, seed: random() });
  };
}

function heldRequest(
  ctx: Context,
  call: ServiceCall,
  request: string,
  keyed: boolean,
): HeldRequest {
  const headers = { ...ctx.headers };
  delete headers.authorization;
  return {
    request,
    account: callerOf(ctx).id,
    service: call.target.id,
    method: ctx.method,
    path: call.path,
    headers,
    body: call.body,
    res: ctx.res,
    head: null,
    heldBack: [],
    receivedBytes: 0,
    backend: '',
    recording: null,
    keyed,
    headRelayed: false,
  };
}

function requestInfo(ctx: Context, call: ServiceCall, request: string): IncomingRequest {
  const { id, account } = callerOf(ctx);
  const { target, idempotent, hints } = call;
  return {
    request,
    account: id,
    service: target.id,
    pool: target.service.pool,
    share: account.share,
    idempotent,
    ...hints,
    queueTimeoutMs: target.service.queueTimeoutMs ?? DEFAULT_QUEUE_TIMEOUT_MS,
    maxQueued: account.maxQueued ?? DEFAULT_MAX_QUEUED,
  };
}
