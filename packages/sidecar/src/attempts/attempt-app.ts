/** HTTP API by which routers run, resume, query and cancel attempts. */
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import Router from '@koa/router';
import type { AttemptOffer, SidecarProcessEvent } from '@kingcupsill/core';
import { AttemptHeader } from '@kingcupsill/core';
import { readBody } from '@kingcupsill/fleet';
import Koa from 'koa';
import type { Context } from 'koa';

import { ResponseEnd } from '../response/types.js';
import type { AttemptEntry, AttemptRegistry } from './types.js';

/** Dependencies and options of the application. */
export interface AttemptAppOptions {
  registry: AttemptRegistry;
  dispatch(event: SidecarProcessEvent): void;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  /** Returns whether a router's token is accepted. */
  isValidToken(token: string): boolean;
  /** Incarnation of this sidecar. */
  incarnation: string;
  /** Maximum size of a request body, in bytes. */
  maxBodyBytes: number;
}

const TRAILERS = `${AttemptHeader.Complete}, ${AttemptHeader.SlotMs}`;

/** Creates the Koa application. */
export function createAttemptApp(options: AttemptAppOptions): Koa {
  const { registry, dispatch, clock, isValidToken, incarnation, maxBodyBytes } = options;
  const router = new Router();

  router.post('/attempts/:id', async (ctx) => {
    const attempt = String(ctx.params.id);
    const bodyOutcome = await readBody(ctx.req, maxBodyBytes);
    if (!bodyOutcome.ok || registry.get(attempt)) {
      refuse(ctx, 'barred');
      return;
    }
    const entry = registry.add(readBackendRequest(ctx, attempt, bodyOutcome.body));
    dispatch({ kind: 'attempt-offered', nowMs: clock(), offer: readOffer(ctx, attempt) });
    await entry.decided;
    if (entry.refusal) {
      registry.remove(attempt);
      refuse(ctx, entry.refusal);
      return;
    }
    await sendResponse(ctx, attempt, entry, 0);
  });

  router.get('/attempts/:id/answer', async (ctx) => {
    const attempt = String(ctx.params.id);
    const entry = registry.get(attempt);
    const offset = Number(ctx.query.offset ?? 0);
    if (!entry || entry.refusal || !canReadFrom(entry, offset)) {
      ctx.status = 410;
      return;
    }
    dispatch({ kind: 'attempt-resumed', nowMs: clock(), attempt });
    await entry.decided;
    await sendResponse(ctx, attempt, entry, offset);
  });

  router.post('/attempts/:id/outcome', async (ctx) => {
    const attempt = String(ctx.params.id);
    const sameIncarnation = ctx.get(AttemptHeader.SidecarIncarnation) === incarnation;
    const { queryId, outcome } = registry.addOutcomeQuery();
    dispatch({ kind: 'outcome-asked', nowMs: clock(), attempt, queryId, sameIncarnation });
    ctx.body = { state: await outcome };
  });

  router.delete('/attempts/:id', async (ctx) => {
    const attempt = String(ctx.params.id);
    const entry = registry.get(attempt);
    dispatch({ kind: 'attempt-cancelled', nowMs: clock(), attempt });
    if (entry) await waitForRelease(entry);
    ctx.body = { slotMs: entry?.slotMs ?? 0 };
  });

  async function sendResponse(ctx: Context, attempt: string, entry: AttemptEntry, offset: number) {
    const head = await entry.response.waitForHead();
    ctx.respond = false;
    const { res } = ctx;
    if (!head) {
      res.destroy();
      return;
    }
    writeHead(res, head.status, head.headers);
    const isSent = await streamResponse(res, entry, offset);
    if (!isSent) dispatch({ kind: 'attempt-orphaned', nowMs: clock(), attempt });
  }

  const app = new Koa();
  app.use(async (ctx, next) => {
    if (!isValidToken(ctx.get(AttemptHeader.Token))) ctx.throw(401);
    await next();
  });
  app.use(router.routes());
  return app;
}

function readBackendRequest(ctx: Context, attempt: string, body: Buffer) {
  return {
    attempt,
    method: ctx.get(AttemptHeader.Method),
    path: ctx.get(AttemptHeader.Path),
    headers: ctx.headers as Record<string, string | string[]>,
    body,
  };
}

function readOffer(ctx: Context, attempt: string): AttemptOffer {
  const grant = ctx.get(AttemptHeader.Grant);
  return {
    attempt,
    incarnation: ctx.get(AttemptHeader.RouterIncarnation),
    grant: grant === 'credit' || grant === 'push' ? grant : Number(grant),
    account: decodeURIComponent(ctx.get(AttemptHeader.Account)),
    estimateMs: Number(ctx.get(AttemptHeader.Estimate)),
  };
}

function refuse(ctx: Context, reason: string): void {
  ctx.status = 409;
  ctx.set(AttemptHeader.NotRun, reason);
  ctx.body = { notRun: reason };
}

function canReadFrom(entry: AttemptEntry, offset: number): boolean {
  if (entry.response.end() === ResponseEnd.Broken) return false;
  return Number.isInteger(offset) && offset >= entry.response.startOffset();
}

function writeHead(
  res: ServerResponse,
  status: number,
  headers: Record<string, string | string[]>,
): void {
  res.writeHead(200, { ...headers, [AttemptHeader.Status]: String(status), trailer: TRAILERS });
  res.flushHeaders();
}

/**
 * Streams the response from an offset. Resolves with false if the connection to the router failed.
 * After a broken response, closes the connection without sending trailers, so that the router detects that it is incomplete.
 */
async function streamResponse(
  res: ServerResponse,
  entry: AttemptEntry,
  offset: number,
): Promise<boolean> {
  try {
    await pipeline(entry.response.read(offset), res, { end: false });
  } catch {
    return false;
  }
  if (entry.response.end() !== ResponseEnd.Whole) {
    res.destroy();
    return true;
  }
  await waitForRelease(entry);
  res.addTrailers({
    [AttemptHeader.Complete]: '1',
    [AttemptHeader.SlotMs]: String(Math.round(entry.slotMs)),
  });
  res.end();
  return true;
}

/** Resolves once the attempt has ended and its slot is free. */
async function waitForRelease(entry: AttemptEntry): Promise<void> {
  await entry.decided;
  await entry.released;
}
