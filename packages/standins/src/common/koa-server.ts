/** Koa servers and responses. */
import type Router from '@koa/router';
import Koa from 'koa';
import type { Context, Middleware } from 'koa';
import { createHttpServer } from './http-server.js';
import type { HttpServer, ListenOptions } from './http-server.js';

/** Responds with a status and the project's JSON error body. */
export const sendError = (
  ctx: Context,
  status: number,
  code: string,
  message: string = code,
): void => {
  ctx.status = status;
  ctx.body = { error: { code, message } };
};

/** Destroys the caller's connection without a response. */
export const destroyConnection = (ctx: Context): void => {
  ctx.respond = false;
  ctx.req.socket.destroy();
};

/** Starts a Koa server with this middleware. Errors thrown by the middleware result in status 500. */
export const startKoaServer = (
  middleware: Middleware[],
  listen: ListenOptions,
): Promise<HttpServer> => {
  const app = new Koa();
  app.silent = true;
  middleware.forEach((handler) => app.use(handler));
  return createHttpServer(app.callback(), listen);
};

/** Returns the routes of a router as middleware. */
export const routerMiddleware = (router: Router): Middleware =>
  router.routes() as unknown as Middleware;
