/** Takes a caller's request from its first byte to the reducer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { RefusalCode } from '@kingcupsill/core/direct';
import type { Refusal } from '@kingcupsill/core/direct';
import { readCallerHeaders } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import type { EdgeContext, EdgeParts } from '../types.js';
import { createAnswerTarget, writeRefusal } from './exchange.js';
import type { Exchange } from './exchange.js';
import { readBody } from './read-body.js';
import type { BodyOutcome } from './read-body.js';

type ReceiveParts = Pick<EdgeParts, 'gate' | 'exchanges' | 'lag' | 'loop' | 'metrics' | 'state'>;

/** A request that was read to its end and may go on. */
type WholeRequest = Pick<Exchange, 'req' | 'res' | 'headers' | 'facts' | 'body'>;

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
export function createReceiver(ctx: EdgeContext, parts: ReceiveParts) {
  const { logger, clock, random } = ctx;
  const { gate, exchanges, lag, loop, metrics, state } = parts;
  let numbered = 0;

  function reject(res: ServerResponse, headers: CallerHeaders, refusal: Refusal): void {
    metrics.refused(refusal.code);
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
    exchanges.open({
      ...request,
      id,
      arrivedAtMs: nowMs,
      begun: false,
      target: createAnswerTarget(request.res),
      held: undefined,
    });
    loop.dispatch({
      kind: 'request',
      request: id,
      attributes: request.facts,
      draw: random(),
      nowMs,
    });
  }

  /** Requests of callers that left before they were read go no further; while the loop is late, the others are refused in time. */
  function submitFresh(request: WholeRequest): void {
    afterNextPoll(() => {
      const { req, res, headers, facts } = request;
      if (res.destroyed || req.socket.destroyed) return;
      const busy = lag.lagMs() > facts.route.objectiveMs * BUSY_LAG_PART;
      if (busy) reject(res, headers, BUSY);
      else submit(request);
    });
  }

  return (req: IncomingMessage, res: ServerResponse): void => {
    const headers = readCallerHeaders(req.headers);
    const checked = gate.check(req, headers, clock());

    function onBody(outcome: BodyOutcome): void {
      if (!checked.ok) reject(res, headers, checked.refusal);
      else if (outcome.ok)
        submitFresh({ req, res, headers, facts: checked.facts, body: outcome.body });
      else if (outcome.reason === 'too-large') reject(res, headers, TOO_LARGE);
    }

    readBody(req, gate.maxBodyBytes(), onBody);
  };
}
