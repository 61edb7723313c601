/** Errors in this router that end one request and must not affect the others. */
import type { ServerResponse } from 'node:http';
import { RefusalCode } from '@kingcupsill/core/direct';
import type { DirectEffect, DirectEvent, Refusal } from '@kingcupsill/core/direct';
import { writeRefusal } from './callers/exchange.js';
import type { EdgeContext } from './context.js';
import type { Exchanges } from './exchanges.js';
import type { EdgeMetrics } from './metrics.js';

/** Handling of such errors. */
export interface RequestErrors {
  /** Logs and counts an error. `place` is the effect or the part of the relay in which it occurred. */
  record(place: string, request: string | undefined, err: unknown): void;
  /** Runs a step of a request before it is dispatched; an error in it ends the request and nothing else. */
  protect(res: ServerResponse, attemptId: string | undefined, step: () => void): void;
  /** Handles the error of an effect. Returns the events that end its request, or undefined if it belongs to no request. */
  handleEffect(err: Error, effect: DirectEffect): DirectEvent[] | undefined;
}

type EffectOf<TKind extends DirectEffect['kind']> = Extract<DirectEffect, { kind: TKind }>;
type ErrorHandlers = {
  [TKind in DirectEffect['kind']]?: (effect: EffectOf<TKind>, err: Error) => DirectEvent[];
};

/** Answer to a request that wasn't dispatched. */
const NOT_DISPATCHED_REFUSAL: Refusal = {
  status: 500,
  code: RefusalCode.InternalError,
  ran: 'no',
  retryAfterMs: undefined,
};
/** Answer to a request that has run, but whose response can't be written. */
const LOST_RESPONSE_REFUSAL: Refusal = {
  status: 502,
  code: RefusalCode.OutcomeUnknown,
  ran: 'unknown',
  retryAfterMs: undefined,
};

/** Creates the handling. `parts` is accessed only when errors occur. */
export function createRequestErrors(
  { logger, clock }: Pick<EdgeContext, 'logger' | 'clock'>,
  parts: { exchanges: Exchanges; metrics: Pick<EdgeMetrics, 'countRequestError'> },
): RequestErrors {
  function record(place: string, request: string | undefined, err: unknown): void {
    logger.error('request-error', { place, request, err });
    parts.metrics.countRequestError(place);
  }

  /** Answers with the refusal, or breaks the connection if that fails or there is none. */
  function answer(res: ServerResponse, request: string | undefined, refusal?: Refusal): void {
    try {
      if (refusal === undefined) res.destroy();
      else writeRefusal(res, refusal);
    } catch (err) {
      record('answer', request, err);
      res.destroy();
    }
  }

  /** Ends a request that is closed in the state. */
  function endClosed(request: string, refusal?: Refusal): DirectEvent[] {
    const exchange = parts.exchanges.take(request);
    if (exchange !== undefined) answer(exchange.res, request, refusal);
    return [];
  }

  const handlers: ErrorHandlers = {
    send: ({ request }, { message }) => [
      { kind: 'request-failed', request, detail: message, nowMs: clock() },
    ],
    // The request has ended before.
    cancel: () => [],
    finish: ({ request }) => endClosed(request, LOST_RESPONSE_REFUSAL),
    refuse: ({ request }) => endClosed(request),
  };

  return {
    record,
    protect(res, attemptId, step) {
      try {
        step();
      } catch (err) {
        record('receive', attemptId, err);
        answer(res, attemptId, NOT_DISPATCHED_REFUSAL);
      }
    },
    handleEffect(err, effect) {
      const handle = handlers[effect.kind] as
        ((effect: DirectEffect, err: Error) => DirectEvent[]) | undefined;
      if (handle === undefined) return undefined;
      record(effect.kind, 'request' in effect ? effect.request : undefined, err);
      return handle(effect, err);
    },
  };
}
