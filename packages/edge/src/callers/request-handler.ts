/** Takes a caller's request from its first byte to the reducer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { RefusalCode } from '@kingcupsill/core/direct';
import type { Refusal } from '@kingcupsill/core/direct';
import { parseCallerHeaders } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import type { EdgeContext, EdgeParts } from '../types.js';
import { createResponseSink, writeRefusal } from './exchange.js';
import type { Exchange } from './exchange.js';
import { readBody } from './read-body.js';
import type { ReadBodyResult } from './read-body.js';

type ReceiveParts = Pick<
  EdgeParts,
  'validator' | 'exchanges' | 'loopLag' | 'loop' | 'metrics' | 'state'
>;

/** A request that was read to its end and may go on. */
type WholeRequest = Pick<Exchange, 'req' | 'res' | 'headers' | 'attributes' | 'body'>;

const TOO_LARGE: Refusal = {
  status: 413,
  code: RefusalCode.BodyTooLarge,
  ran: 'no',
  retryAfterMs: undefined,
};

const BUSY: Refusal = {
  status: 503,
  code: RefusalCode.RouterBusy,
  ran: 'no',
  // Another try reaches another router; this one needs about as long to catch up.
  retryAfterMs: 300,
};
/** Lateness of the loop, as a part of a request's objective, from which the request is better off at another router. */
const BUSY_LAG_PART = 0.25;

/** Calls back after the loop has seen what is ready now, closed connections included. */
function afterNextPoll(call: () => void): void {
  setImmediate(() => setImmediate(call));
}

/** Creates the handler of callers' requests. */
export function createRequestHandler(ctx: EdgeContext, parts: ReceiveParts) {
  const { logger, clock, random } = ctx;
  const { validator, exchanges, loopLag, loop, metrics, state } = parts;
  let numbered = 0;

  function reject(res: ServerResponse, headers: CallerHeaders, refusal: Refusal): void {
    metrics.countRefusal(refusal.code);
    logger.warn('request-rejected', {
      attemptId: headers.attemptId,
      status: refusal.status,
      code: refusal.code,
      configuration: state.routeTable?.config.version,
    });
    writeRefusal(res, refusal);
  }

  function submit(request: WholeRequest): void {
    numbered += 1;
    const id = `${request.headers.attemptId ?? 'none'}-${numbered}`;
    const nowMs = clock();
    exchanges.add({
      ...request,
      id,
      receivedAtMs: nowMs,
      responseStarted: false,
      sink: createResponseSink(request.res),
      bufferedResponse: undefined,
    });
    loop.dispatch({
      kind: 'request',
      request: id,
      attributes: request.attributes,
      draw: random(),
      nowMs,
    });
  }

  /** Requests of callers that left before they were read go no further; while the loop is late, the others are refused in time. */
  function submitFresh(request: WholeRequest): void {
    afterNextPoll(() => {
      const { req, res, headers, attributes } = request;
      if (res.destroyed || req.socket.destroyed) return;
      const busy = loopLag.lagMs() > attributes.route.objectiveMs * BUSY_LAG_PART;
      if (busy) reject(res, headers, BUSY);
      else submit(request);
    });
  }

  return (req: IncomingMessage, res: ServerResponse): void => {
    const headers = parseCallerHeaders(req.headers);
    const checked = validator.validate(req, headers, clock());

    function onBody(outcome: ReadBodyResult): void {
      if (!checked.ok) reject(res, headers, checked.refusal);
      else if (outcome.ok)
        submitFresh({ req, res, headers, attributes: checked.attributes, body: outcome.body });
      else if (outcome.reason === 'too-large') reject(res, headers, TOO_LARGE);
    }

    readBody(req, validator.maxBodyBytes(), onBody);
  };
}
