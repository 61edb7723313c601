/** Middleware that counts platform calls, injects faults and enforces rate limits. */
import type { Context, Middleware } from 'koa';
import { delayByFault } from '../common/faults.js';
import { FaultRole } from '../common/types.js';
import type { FaultTable } from '../common/types.js';
import { destroyConnection, sendError } from '../common/koa-server.js';
import { createTokenBucket } from './token-bucket.js';
import { PlatformFaultKind } from './types.js';

export interface CallMiddlewareOptions {
  faults: FaultTable<PlatformFaultKind>;
  readsPerSecond: number;
  writesPerSecond: number;
  /** Increments the counter of a call kind. */
  countCall: (kind: string) => void;
}

const getCallKind = (method: string, path: string): string => {
  if (method !== 'GET') return method.toLowerCase();
  if (path === '/v1/objects') return 'list';
  return path.startsWith('/v1/objects/') ? 'get' : (path.split('/')[2] ?? 'other');
};

/** Fails the call if an outage is triggered for its role; returns whether one was. */
export const injectOutage = (
  ctx: Context,
  faults: FaultTable<PlatformFaultKind>,
  role: FaultRole,
): boolean => {
  const outage = faults.trigger(PlatformFaultKind.Outage, role);
  if (outage === undefined) return false;
  if (outage.manner === 'reset') destroyConnection(ctx);
  else sendError(ctx, 503, 'unavailable');
  return true;
};

/** Creates the middleware that runs before every service call. */
export const createCallMiddleware = ({
  faults,
  readsPerSecond,
  writesPerSecond,
  countCall,
}: CallMiddlewareOptions): Middleware => {
  const startMs = performance.now();
  const buckets = {
    [FaultRole.Reads]: createTokenBucket(readsPerSecond, startMs),
    [FaultRole.Writes]: createTokenBucket(writesPerSecond, startMs),
  };

  return async (ctx, next) => {
    const role = ctx.method === 'GET' ? FaultRole.Reads : FaultRole.Writes;
    countCall(getCallKind(ctx.method, ctx.path));

    if (injectOutage(ctx, faults, role)) {
      countCall('unavailable');
      return;
    }
    const waitMs = buckets[role].take(performance.now());
    if (waitMs > 0) {
      countCall('limited');
      ctx.set('Retry-After', String(Math.ceil(waitMs / 1000)));
      sendError(ctx, 429, 'rate_limited');
      return;
    }
    await delayByFault(faults.trigger(PlatformFaultKind.Slow, role));
    await next();
  };
};
