/** HTTP routes of the model engine. */
import { randomUUID } from 'node:crypto';
import type Router from '@koa/router';
import type { Context } from 'koa';
import { z } from 'zod';
import { parseQueryInteger, readJsonBody } from '../common/admin-routes.js';
import { readBody } from '../common/body.js';
import { sha256 } from '../common/digest.js';
import type { FaultTable } from '../common/types.js';
import { sendError } from '../common/koa-server.js';
import type { CacheFeed } from './cache-feed.js';
import { parseChatRequest } from './chat-request.js';
import type { LoadReporter } from './load-reporter.js';
import type { Models } from './models.js';
import type { Runner } from './runner.js';
import { EngineFaultKind } from './types.js';

export interface EngineRoutesOptions {
  router: Router;
  runner: Runner;
  models: Models;
  faults: FaultTable<EngineFaultKind>;
  cacheFeed: CacheFeed;
  loadReporter: LoadReporter;
}

const MAX_BODY_BYTES = 16_777_216;

const orderSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.enum(['load-model', 'unload-model']),
    model: z.string().min(1),
    fencing: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('change-role'),
    role: z.string().min(1),
    fencing: z.number().int().nonnegative(),
  }),
]);

const getHeader = (ctx: Context, name: string): string | undefined => ctx.get(name) || undefined;

const addChatRoute = ({ router, runner, models, faults }: EngineRoutesOptions): void => {
  router.post('/v1/chat/completions', async (ctx) => {
    const requestId = getHeader(ctx, 'x-request-id') ?? randomUUID();
    ctx.set('x-request-id', requestId);
    if (faults.trigger(EngineFaultKind.Refuse) !== undefined) {
      sendError(ctx, 503, 'overloaded', 'the engine does not accept requests');
      return;
    }
    const bodyResult = await readBody(ctx.req, MAX_BODY_BYTES);
    if (!bodyResult.ok) {
      sendError(ctx, bodyResult.code === 'too-large' ? 413 : 400, bodyResult.code);
      return;
    }
    const parsed = parseChatRequest(bodyResult.body);
    if (!parsed.ok) {
      sendError(ctx, 400, 'invalid_request_error', parsed.message);
      return;
    }
    const { request } = parsed;
    if (!models.loaded().includes(request.model)) {
      sendError(ctx, 404, 'model_not_found', `model ${request.model} is not loaded`);
      return;
    }
    const benchRequest = getHeader(ctx, 'x-bench-request') ?? null;
    const run = runner.submit({
      requestId,
      benchRequest,
      digest: sha256(bodyResult.body),
      request,
    });
    if (run === undefined) {
      sendError(ctx, 400, 'context_length_exceeded', 'the request exceeds the total KV memory');
      return;
    }
    ctx.respond = false;
    await runner.respond(run, ctx.res);
  });
};

const addRequestRoutes = ({ router, runner }: EngineRoutesOptions): void => {
  router.post('/v1/requests/:id/cancel', (ctx) => {
    const run = runner.runs.byRequestId(ctx.params.id ?? '');
    if (run === undefined) {
      sendError(ctx, 404, 'not_found');
      return;
    }
    const cancelled = !run.buffer.isEnded();
    if (cancelled) runner.loop.cancel(run.runId);
    ctx.body = { id: run.requestId, cancelled };
  });

  router.get('/v1/requests/:id/stream', (ctx) => {
    const run = runner.runs.byRequestId(ctx.params.id ?? '');
    if (run === undefined) {
      sendError(ctx, 404, 'not_found');
      return;
    }
    if (run.buffer.isAborted()) {
      sendError(ctx, 410, 'cancelled', 'the request ended before its answer was complete');
      return;
    }
    const offset = parseQueryInteger(ctx, 'offset', 0);
    if (offset > run.buffer.length()) {
      sendError(ctx, 416, 'offset_too_large', `the answer has ${run.buffer.length()} bytes`);
      return;
    }
    ctx.respond = false;
    runner.sendAnswer(run, ctx.res, offset);
  });

  router.get('/v1/requests', (ctx) => {
    ctx.body = { running: runner.runs.active().map(({ requestId }) => ({ id: requestId })) };
  });
};

/** Registers the routes of the model engine. */
export const addEngineRoutes = (options: EngineRoutesOptions): void => {
  const { router, models, cacheFeed, loadReporter } = options;
  addChatRoute(options);
  addRequestRoutes(options);

  router.get('/v1/models', (ctx) => {
    const data = models.loaded().map((id) => ({ id, object: 'model', created: 0, owned_by: '' }));
    ctx.body = { object: 'list', data };
  });
  router.get('/v1/load', (ctx) => {
    ctx.body = loadReporter.latest();
  });
  router.get('/v1/cache-events', (ctx) => {
    ctx.body = cacheFeed.after(parseQueryInteger(ctx, 'after', 0), performance.now());
  });
  router.post('/v1/orders', async (ctx) => {
    const order = await readJsonBody(ctx, orderSchema);
    if (order === undefined) return;
    if (models.applyOrder(order)) {
      ctx.status = 202;
      ctx.body = { accepted: true };
    } else {
      sendError(ctx, 409, 'old_fencing', `fencing number ${order.fencing} is outdated`);
    }
  });
};
