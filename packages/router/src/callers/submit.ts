/** Hands callers' requests to the router's reducer. */
import type { RequestInfo, RouterProcessEvent } from '@kingcupsill/core';
import type { Context } from 'koa';

import type { ServiceRecord } from '../directory/types.js';
import { callerOf } from './authenticate.js';
import type { HeldRequest } from './types.js';

/** What submitting needs. */
export interface SubmitOptions {
  dispatch(event: RouterProcessEvent): void;
  clock(): number;
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
  hints: Pick<RequestInfo, 'promptTokens' | 'maxTokens' | 'bodyBytes'>;
}

const DEFAULT_QUEUE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_QUEUED = 1000;

/** Creates the function that submits a call; the answer is written by effects. */
export function createSubmit(options: SubmitOptions): (ctx: Context, call: ServiceCall) => void {
  const { dispatch, clock, random, hold } = options;
  let nextRequest = 1;

  return (ctx, call) => {
    const request = String(nextRequest);
    nextRequest += 1;
    ctx.respond = false;
    hold(heldRequest(ctx, call, request));
    ctx.res.once('close', () => {
      if (!ctx.res.writableFinished) dispatch({ kind: 'request-gone', nowMs: clock(), request });
    });
    const info = requestInfo(ctx, call, request);
    dispatch({ kind: 'request-arrived', nowMs: clock(), info, seed: random() });
  };
}

function heldRequest(ctx: Context, call: ServiceCall, request: string): HeldRequest {
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
    headRelayed: false,
  };
}

function requestInfo(ctx: Context, call: ServiceCall, request: string): RequestInfo {
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
