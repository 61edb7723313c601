/** Koa applications of the stand-ins. */
import type Router from '@koa/router';
import Koa from 'koa';
import type { Context, Middleware } from 'koa';
import { createHttpServer } from './http-server.js';
import type { HttpServer, ListenOptions } from './http-server.js';

/** Answers with an error body of the project's shape. */
export const sendError = (
  ctx: Context,
  status: number,
  code: string,
  message: string = code,
): void => {
  ctx.status = status;
  ctx.body = { error: { code, message } };
};

/** Destroys the caller's connection without an answer. */
export const destroyConnection = (ctx: Context): void => {
  ctx.respond = false;
  ctx.req.socket.destroy();
};

/** Starts a koa application made of `middleware`. Failures inside it are answered 500. */
export const startKoaServer = (
  middleware: Middleware[],
  listen: ListenOptions,
): Promise<HttpServer> => {
  const app = new Koa();
  app.silent = true;
  middleware.forEach((one) => app.use(one));
  return createHttpServer(app.callback(), listen);
};

/** Middleware of a router's routes. */
export const routerMiddleware = (router: Router): Middleware =>
  router.routes() as unknown as Middleware;
