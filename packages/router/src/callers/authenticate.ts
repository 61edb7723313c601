/** Authentication of client accounts by API key. */
import type { Context, Middleware } from 'koa';

import type { AccountRecord, ConfigIndex } from '../config-index/types.js';
import { respondWithError } from './errors.js';

const NOT_READY_RETRY_AFTER_MS = 1000;

/** Middleware that sets `ctx.state.caller`. Responds with 401 to an unknown key, and with 503 while the router has no configuration. */
export function authenticate(configIndex: () => ConfigIndex): Middleware {
  return async (ctx, next) => {
    if (configIndex().version === 0) {
      respondWithError(ctx, 'not_ready', NOT_READY_RETRY_AFTER_MS);
      return;
    }
    const caller = configIndex().findAccountByKey(readApiKey(ctx));
    if (!caller) {
      respondWithError(ctx, 'unknown_key');
      return;
    }
    ctx.state.caller = caller;
    await next();
  };
}

/** Returns the client account set by `authenticate`. */
export function getCaller(ctx: Context): AccountRecord {
  return ctx.state.caller as AccountRecord;
}

function readApiKey(ctx: Context): string {
  const [scheme = '', key = ''] = ctx.get('authorization').split(' ');
  return scheme.toLowerCase() === 'bearer' ? key : '';
}
