/** HTTP API for callers: chat completions, models and plain services. */
import Router from '@koa/router';
import { ServiceKind } from '@kingcupsill/core';
import { readBody } from '@kingcupsill/fleet';
import Koa from 'koa';
import type { Context } from 'koa';

import type { ConfigIndex, ServiceRecord } from '../config-index/types.js';
import { authenticate, getCaller } from './authenticate.js';
import { parseChatRequest } from './chat-request.js';
import { respondWithError } from './errors.js';
import { isIdempotent } from './idempotency.js';
import { parseServicePath } from './service-path.js';
import { createSubmit } from './submit.js';
import type { SubmitOptions } from './submit.js';

/** Dependencies and options of the application. */
export interface CallerAppOptions extends SubmitOptions {
  /** Returns the index of the current configuration. */
  configIndex(): ConfigIndex;
  /** Maximum size of a request body, in bytes. */
  maxBodyBytes: number;
}

/** Creates the Koa application. */
export function createCallerApp(options: CallerAppOptions): Koa {
  const { configIndex, maxBodyBytes } = options;
  const submit = createSubmit(options);

  /** Reads the body, or responds with an error and returns null. */
  async function readBodyOrRespond(ctx: Context): Promise<Buffer | null> {
    const outcome = await readBody(ctx.req, maxBodyBytes);
    if (outcome.ok) return outcome.body;
    ctx.res.setHeader('connection', 'close');
    respondWithError(ctx, outcome.code);
    return null;
  }

  /** Finds a service that the caller may use, or responds with an error and returns null. */
  function findAllowedService(ctx: Context, id: string, kind: ServiceKind): ServiceRecord | null {
    const target = configIndex().findService(id);
    if (!target || target.service.kind !== kind) {
      respondWithError(ctx, 'unknown_service');
      return null;
    }
    if (!getCaller(ctx).account.services.includes(id)) {
      respondWithError(ctx, 'service_not_allowed');
      return null;
    }
    return target;
  }

  function listModels(ctx: Context): void {
    const models = configIndex().listServices(getCaller(ctx).account, ServiceKind.Model);
    const data = models.map(({ id }) => ({ id, object: 'model', owned_by: 'kingcupsill' }));
    ctx.body = { object: 'list', data };
  }

  async function completeChat(ctx: Context): Promise<void> {
    const body = await readBodyOrRespond(ctx);
    if (!body) return;
    const chat = parseChatRequest(body);
    if (!chat) {
      respondWithError(ctx, 'invalid_body');
      return;
    }
    const target = findAllowedService(ctx, chat.model, ServiceKind.Model);
    if (!target) return;
    const { promptTokens, maxTokens } = chat;
    const sizeHints = { promptTokens, maxTokens };
    submit(ctx, { target, path: ctx.path, body, idempotent: true, sizeHints });
  }

  async function callService(ctx: Context): Promise<void> {
    const { service, path } = parseServicePath(ctx.url);
    const target = findAllowedService(ctx, service, ServiceKind.Plain);
    if (!target) return;
    const body = await readBodyOrRespond(ctx);
    if (!body) return;
    const idempotent = isIdempotent(target.service, ctx.method, path);
    submit(ctx, { target, path, body, idempotent, sizeHints: { bodyBytes: body.length } });
  }

  const publicRouter = new Router();
  publicRouter.get('/healthz', (ctx) => {
    ctx.body = 'ok';
  });
  const apiRouter = new Router();
  apiRouter.get('/v1/models', listModels);
  apiRouter.post('/v1/chat/completions', completeChat);
  apiRouter.all('/services/{*rest}', callService);

  const app = new Koa();
  app.use(publicRouter.routes());
  app.use(authenticate(configIndex));
  app.use(apiRouter.routes());
  app.use((ctx) => respondWithError(ctx, 'not_found'));
  return app;
}
