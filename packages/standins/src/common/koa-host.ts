/** Koa applications of the stand-ins. */
import type Router from '@koa/router';
import Koa from 'koa';
import type { Context, Middleware } from 'koa';
import { createHttpHost } from './http-host.js';
import type { HttpHost, ListenOptions } from './http-host.js';

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
export const dropConnection = (ctx: Context): void => {
  ctx.respond = false;
  ctx.req.socket.destroy();
};

/** Starts a koa application made of `middleware`. Failures inside it are answered 500. */
export const startKoa = (middleware: Middleware[], listen: ListenOptions): Promise<HttpHost> => {
  const app = new Koa();
  app.silent = true;
  middleware.forEach((one) => app.use(one));
  return createHttpHost(app.callback(), listen);
};

/** Middleware of a router's routes. */
export const routesOf = (router: Router): Middleware => router.routes() as unknown as Middleware;
