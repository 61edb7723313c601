/** Finds the client account that calls, by its API key. */
import type { Context, Middleware } from 'koa';

import type { AccountRecord, ConfigIndex } from '../config-index/types.js';
import { respondWithError } from './errors.js';

const RETRY_AFTER_MS = 1000;

/** Sets `ctx.state.caller`, or answers 401; 503 while the router has no configuration and so knows no key. */
export function authenticate(directory: () => ConfigIndex): Middleware {
  return async (ctx, next) => {
    if (directory().version === 0) {
      respondWithError(ctx, 'not_ready', RETRY_AFTER_MS);
      return;
    }
    const caller = directory().findAccountByKey(apiKeyOf(ctx));
    if (!caller) {
      respondWithError(ctx, 'unknown_key');
      return;
    }
    ctx.state.caller = caller;
    await next();
  };
}

/** The account that `authenticate` found. */
export function getCaller(ctx: Context): AccountRecord {
  return ctx.state.caller as AccountRecord;
}

function apiKeyOf(ctx: Context): string {
  const [scheme = '', key = ''] = ctx.get('authorization').split(' ');
  return scheme.toLowerCase() === 'bearer' ? key : '';
}
