/** HTTP interface between routers and the sidecar: run, resume, ask about and cancel attempts. */
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import Router from '@koa/router';
import type { AttemptOffer, SidecarProcessEvent } from '@kingcupsill/core';
import { AttemptHeader } from '@kingcupsill/core';
import { readBody } from '@kingcupsill/fleet';
import Koa from 'koa';
import type { Context } from 'koa';

import { ResponseEnd } from '../response/types.js';
import type { AttemptRegistry, AttemptEntry } from './types.js';

/** What the routes need. */
export interface AttemptAppOptions {
  registry: AttemptRegistry;
  dispatch(event: SidecarProcessEvent): void;
  clock(): number;
  /** Whether this is a token that routers may show. */
  isValidToken(shown: string): boolean;
  /** Incarnation of this sidecar. */
  incarnation: string;
  /** Largest request body in bytes. */
  maxBodyBytes: number;
}

const TRAILERS = `${AttemptHeader.Complete}, ${AttemptHeader.SlotMs}`;

/** Creates the HTTP application. */
export function createAttemptApp(options: AttemptAppOptions): Koa {
  const { registry, dispatch, clock, isValidToken, incarnation, maxBodyBytes } = options;
  const router = new Router();

  router.post('/attempts/:id', async (ctx) => {
    const attempt = String(ctx.params.id);
    const read = await readBody(ctx.req, maxBodyBytes);
    if (!read.ok || registry.get(attempt)) {
      refuse(ctx, 'barred');
      return;
    }
    const held = registry.add(backendRequest(ctx, attempt, read.body));
    dispatch({ kind: 'attempt-offered', nowMs: clock(), offer: offerOf(ctx, attempt) });
    await held.decided;
    if (held.refusal) {
      registry.remove(attempt);
      refuse(ctx, held.refusal);
      return;
    }
    await relay(ctx, attempt, held, 0);
  });

  router.get('/attempts/:id/answer', async (ctx) => {
    const attempt = String(ctx.params.id);
    const held = registry.get(attempt);
    const offset = Number(ctx.query.offset ?? 0);
    if (!held || held.refusal || !canReadFrom(held, offset)) {
      ctx.status = 410;
      return;
    }
    dispatch({ kind: 'attempt-resumed', nowMs: clock(), attempt });
    await held.decided;
    await relay(ctx, attempt, held, offset);
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
    const held = registry.get(attempt);
    dispatch({ kind: 'attempt-cancelled', nowMs: clock(), attempt });
    if (held) await ended(held);
    ctx.body = { slotMs: held?.slotMs ?? 0 };
  });

  async function relay(ctx: Context, attempt: string, held: AttemptEntry, offset: number) {
    const head = await held.response.waitForHead();
    ctx.respond = false;
    const { res } = ctx;
    if (!head) {
      res.destroy();
      return;
    }
    writeHead(res, head.status, head.headers);
    const isRead = await sendAnswer(res, held, offset);
    if (!isRead) dispatch({ kind: 'attempt-orphaned', nowMs: clock(), attempt });
  }

  const app = new Koa();
  app.use(async (ctx, next) => {
    if (!isValidToken(ctx.get(AttemptHeader.Token))) ctx.throw(401);
    await next();
  });
  app.use(router.routes());
  return app;
}

function backendRequest(ctx: Context, attempt: string, body: Buffer) {
  return {
    attempt,
    method: ctx.get(AttemptHeader.Method),
    path: ctx.get(AttemptHeader.Path),
    headers: ctx.headers as Record<string, string | string[]>,
    body,
  };
}

function offerOf(ctx: Context, attempt: string): AttemptOffer {
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

function canReadFrom(held: AttemptEntry, offset: number): boolean {
  if (held.response.end() === ResponseEnd.Broken) return false;
  return Number.isInteger(offset) && offset >= held.response.startOffset();
}

function writeHead(
  res: ServerResponse,
  status: number,
  headers: Record<string, string | string[]>,
): void {
  res.writeHead(200, { ...headers, [AttemptHeader.Status]: String(status), trailer: TRAILERS });
  res.flushHeaders();
}

/** Sends the answer from an offset; false when the connection broke. A broken answer gets no trailers and a cut connection. */
async function sendAnswer(
  res: ServerResponse,
  held: AttemptEntry,
  offset: number,
): Promise<boolean> {
  try {
    await pipeline(held.response.read(offset), res, { end: false });
  } catch {
    return false;
  }
  if (held.response.end() !== ResponseEnd.Whole) {
    res.destroy();
    return true;
  }
  await ended(held);
  res.addTrailers({
    [AttemptHeader.Complete]: '1',
    [AttemptHeader.SlotMs]: String(Math.round(held.slotMs)),
  });
  res.end();
  return true;
}

/** Resolves when the attempt's slot is free again. */
async function ended(held: AttemptEntry): Promise<void> {
  await held.decided;
  await held.released;
}
