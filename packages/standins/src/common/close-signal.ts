/** Abort signal for closed connections. */
import type { Context } from 'koa';

/** Returns a signal that aborts when the response closes. */
export const closeSignal = (ctx: Context): AbortSignal => {
  const controller = new AbortController();
  ctx.res.once('close', () => controller.abort());
  return controller.signal;
};
