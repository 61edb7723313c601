/** Tells when a caller leaves. */
import type { Context } from 'koa';

/** Aborts when the caller's connection closes. */
export const closeSignal = (ctx: Context): AbortSignal => {
  const controller = new AbortController();
  ctx.res.once('close', () => controller.abort());
  return controller.signal;
};
