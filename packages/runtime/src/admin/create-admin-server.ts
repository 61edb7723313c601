/** HTTP server for operators: metrics, health, readiness, state dump and log level. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import Koa from 'koa';
import type { Context, Middleware } from 'koa';
import Router from '@koa/router';
import VError from 'verror';
import { z } from 'zod';
import { closeServer, listenOn } from '../http-server/index.js';
import { LogLevel } from '../logs/types.js';
import { isLoopbackHost } from '../settings/sections.js';
import { dumpState } from './dump-state.js';
import type { AdminServer, AdminServerOptions } from './types.js';

const MAX_LOG_LEVEL_BODY_BYTES = 1024;

const logLevelBodySchema = z.strictObject({ level: z.enum(LogLevel) });

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function requireToken(token: string): Middleware {
  const expectedDigest = sha256(`Bearer ${token}`);
  return async (ctx, next) => {
    if (timingSafeEqual(sha256(ctx.get('authorization')), expectedDigest)) {
      await next();
      return;
    }
    ctx.status = 401;
    ctx.set('www-authenticate', 'Bearer');
    ctx.body = { code: 'wrong_token' };
  };
}

async function readBody(req: IncomingMessage, maxBytes: number): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    totalBytes += chunk.length;
    if (totalBytes > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseLogLevel(text: string | undefined): LogLevel | undefined {
  try {
    return logLevelBodySchema.parse(JSON.parse(text ?? '')).level;
  } catch {
    return undefined;
  }
}

async function changeLogLevel(ctx: Context, options: AdminServerOptions): Promise<void> {
  const level = parseLogLevel(await readBody(ctx.req, MAX_LOG_LEVEL_BODY_BYTES));
  if (level === undefined) {
    ctx.status = 400;
    ctx.body = { code: 'bad_level', levels: Object.values(LogLevel) };
    return;
  }
  const { setLogLevel = options.logger.setLevel } = options;
  setLogLevel(level);
  ctx.body = { level };
}

function createRoutes(options: AdminServerOptions): Router {
  const router = new Router();
  router.get('/metrics', async (ctx) => {
    ctx.type = options.registry.contentType;
    ctx.body = await options.registry.metrics();
  });
  router.get('/healthz', (ctx) => {
    ctx.body = { ok: true };
  });
  router.get('/readyz', (ctx) => {
    const readiness = options.ready();
    ctx.status = readiness.ok ? 200 : 503;
    ctx.body = readiness;
  });
  router.get('/debug/state', (ctx) => {
    ctx.type = 'application/json';
    ctx.body = JSON.stringify(dumpState(options.dump()));
  });
  router.put('/debug/log-level', (ctx) => changeLogLevel(ctx as Context, options));
  options.routes?.(router);
  return router;
}

function createApp(options: AdminServerOptions): Koa {
  const app = new Koa();
  const router = createRoutes(options);
  if (options.token !== undefined) app.use(requireToken(options.token));
  app.use(router.routes());
  app.use(router.allowedMethods());
  app.on('error', (err: Error) => options.logger.error('admin-call-failed', { err }));
  return app;
}

/** Starts the admin server. Rejects if it can't listen, or if the host isn't loopback and no token is set. */
export async function createAdminServer(options: AdminServerOptions): Promise<AdminServer> {
  const { host = '127.0.0.1', port = 0, token } = options;
  if (token === undefined && !isLoopbackHost(host)) {
    throw new VError("admin host %s isn't loopback and no token is set", host);
  }
  const handleRequest = createApp(options).callback();
  const server = createServer((req, res) => {
    void handleRequest(req, res);
  });
  const boundPort = await listenOn(server, { host, port });
  return { port: boundPort, close: () => closeServer(server) };
}
