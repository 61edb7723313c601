/** Handler of callers' requests: validates them, reads their bodies and dispatches them to the reducer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createDrainingRefusal, RefusalCode, RetryPolicy } from '@kingcupsill/core/direct';
import type { Refusal, RequestAttributes } from '@kingcupsill/core/direct';
import { createStreamJoin } from '@kingcupsill/core/event-stream';
import { parseCallerHeaders } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import type { EdgeContext } from '../context.js';
import type { EdgeParts } from '../types.js';
import { createResponseSink, writeRefusal } from './exchange.js';
import type { Exchange } from './exchange.js';
import { fingerprintRequest } from './fingerprint.js';
import { readBody } from './read-body.js';
import type { ReadBodyResult } from './read-body.js';
import { createRequestQueue } from './request-queue.js';
import type { ReceivedAttributes } from './request-validator.js';

type HandlerParts = Pick<
  EdgeParts,
  'validator' | 'exchanges' | 'loopLag' | 'loop' | 'metrics' | 'state' | 'requestErrors'
>;

/** Valid request whose body has been read completely. */
type ReceivedRequest = Pick<Exchange, 'req' | 'res' | 'headers' | 'attributes' | 'body'>;

const BODY_TOO_LARGE_REFUSAL: Refusal = {
  status: 413,
  code: RefusalCode.BodyTooLarge,
  ran: 'no',
  retryAfterMs: undefined,
};

const BUSY_REFUSAL: Refusal = {
  status: 503,
  code: RefusalCode.RouterBusy,
  ran: 'no',
  // A retry usually reaches another router; this one needs about this long to process its backlog.
  retryAfterMs: 300,
};
/** Wait for the event loop, as a fraction of a request's latency objective, above which another router serves the request better. */
const MAX_WAIT_FRACTION = 0.25;

/** Handlers of callers' requests. */
export interface RequestHandlers {
  onRequest(req: IncomingMessage, res: ServerResponse): void;
  /** Refuses a request that arrives while the router is exiting. */
  onLateRequest(req: IncomingMessage, res: ServerResponse): void;
  /** Refuses the requests that haven't been received completely, or haven't been dispatched yet. */
  refusePending(): void;
}

function addFingerprint(
  req: IncomingMessage,
  { host }: CallerHeaders,
  attributes: ReceivedAttributes,
  bodyDigest: Buffer,
): RequestAttributes {
  const { account } = attributes;
  const { method, url } = req;
  const fingerprint = fingerprintRequest({
    method: method!,
    host,
    target: url!,
    account,
    bodyDigest,
  });
  return { ...attributes, fingerprint };
}

/** Refuses a request that hasn't been dispatched. */
function rejectRequest(
  { logger }: EdgeContext,
  { metrics, state }: HandlerParts,
  res: ServerResponse,
  { attemptId }: CallerHeaders,
  refusal: Refusal,
): void {
  const { status, code } = refusal;
  const configuration = state.routeTable?.config.version;
  metrics.countRefusal(code);
  logger.warn('request-rejected', { attemptId, status, code, configuration });
  writeRefusal(res, refusal);
}

/** Creates the handlers of the server for callers. */
export function createRequestHandlers(ctx: EdgeContext, parts: HandlerParts): RequestHandlers {
  const { clock, random } = ctx;
  const { validator, exchanges, loopLag, loop } = parts;
  const { protect } = parts.requestErrors;
  const queue = createRequestQueue(clock, setImmediate);
  /** Requests that have been neither dispatched nor refused. */
  const pending = new Map<ServerResponse, CallerHeaders>();
  let requestCount = 0;

  function reject(res: ServerResponse, headers: CallerHeaders, refusal: Refusal): void {
    pending.delete(res);
    rejectRequest(ctx, parts, res, headers, refusal);
  }

  function submit(request: ReceivedRequest): void {
    pending.delete(request.res);
    requestCount += 1;
    const id = `${request.headers.attemptId ?? 'none'}-${requestCount}`;
    const nowMs = clock();
    const { route, resumeAfter } = request.attributes;
    const isResumable = route.retryPolicy === RetryPolicy.Resume;
    exchanges.add({
      ...request,
      id,
      receivedAtMs: nowMs,
      responseStarted: false,
      sink: createResponseSink(request.res),
      streamJoin: createStreamJoin({ isResumable, resumeAfter }),
      usedSockets: new Set(),
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

  /** Dispatches a request unless its caller has disconnected; refuses it early if the event loop is too busy to serve it in time. */
  function submitIfConnected(request: ReceivedRequest): void {
    queue.add((waitedMs) => {
      const { req, res, headers, attributes } = request;
      if (!pending.has(res) || res.destroyed || req.socket.destroyed) return;
      const maxWaitMs = attributes.route.objectiveMs * MAX_WAIT_FRACTION;
      const isBusy = Math.max(loopLag.lagMs(), waitedMs) > maxWaitMs;
      protect(res, headers.attemptId, () => {
        if (isBusy) reject(res, headers, BUSY_REFUSAL);
        else submit(request);
      });
    });
  }

  function receive(req: IncomingMessage, res: ServerResponse): void {
    const headers = parseCallerHeaders(req.headers);
    const validation = validator.validate(req, headers, clock());

    function onBody(result: ReadBodyResult): void {
      if (!pending.has(res)) return;
      if (!validation.ok) reject(res, headers, validation.refusal);
      else if (result.ok) {
        const attributes = addFingerprint(req, headers, validation.attributes, result.digest);
        submitIfConnected({ req, res, headers, attributes, body: result.body });
      } else if (result.reason === 'too-large') reject(res, headers, BODY_TOO_LARGE_REFUSAL);
    }

    pending.set(res, headers);
    res.on('close', () => pending.delete(res));
    readBody(req, validator.maxBodyBytes(), (result) =>
      protect(res, headers.attemptId, () => onBody(result)),
    );
  }

  return {
    onRequest: (req, res) => protect(res, undefined, () => receive(req, res)),
    onLateRequest: (req, res) =>
      protect(res, undefined, () =>
        reject(res, parseCallerHeaders(req.headers), createDrainingRefusal()),
      ),
    refusePending() {
      pending.forEach((headers, res) =>
        protect(res, headers.attemptId, () => reject(res, headers, createDrainingRefusal())),
      );
    },
  };
}
