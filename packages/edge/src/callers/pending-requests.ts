/** Requests that have been neither dispatched nor refused. */
import type { ServerResponse } from 'node:http';
import type { Refusal } from '@kingcupsill/core/direct';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import type { EdgeContext } from '../context.js';
import type { EdgeParts } from '../types.js';
import { writeRefusal } from './exchange.js';

/** Pending requests by the responses to them. */
export interface PendingRequests {
  /** Adds a request until it is removed or refused, or its connection closes. */
  add(res: ServerResponse, headers: CallerHeaders): void;
  has(res: ServerResponse): boolean;
  /** Removes a request that is dispatched. */
  remove(res: ServerResponse): void;
  /** Refuses a request, whether it has been added or not. */
  reject(res: ServerResponse, headers: CallerHeaders, refusal: Refusal): void;
  rejectAll(refusal: Refusal): void;
}

/** Creates an empty table. */
export function createPendingRequests(
  { logger }: Pick<EdgeContext, 'logger'>,
  { metrics, state, requestErrors }: Pick<EdgeParts, 'metrics' | 'state' | 'requestErrors'>,
): PendingRequests {
  const pending = new Map<ServerResponse, CallerHeaders>();

  function remove(res: ServerResponse): void {
    pending.delete(res);
  }

  function reject(res: ServerResponse, { attemptId }: CallerHeaders, refusal: Refusal): void {
    remove(res);
    const { status, code } = refusal;
    const configuration = state.routeTable?.config.version;
    metrics.countRefusal(code);
    logger.warn('request-rejected', { attemptId, status, code, configuration });
    writeRefusal(res, refusal);
  }

  return {
    add(res, headers) {
      pending.set(res, headers);
      res.on('close', () => remove(res));
    },
    has: (res) => pending.has(res),
    remove,
    reject,
    rejectAll(refusal) {
      pending.forEach((headers, res) =>
        requestErrors.protect(res, headers.attemptId, () => reject(res, headers, refusal)),
      );
    },
  };
}
