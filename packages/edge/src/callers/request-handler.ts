/** Handler of callers' requests: validates them, reads their bodies and dispatches them to the reducer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createDrainingRefusal, RefusalCode, RetryPolicy } from '@kingcupsill/core/direct';
import type { Refusal, RequestAttributes } from '@kingcupsill/core/direct';
import { createStreamJoin } from '@kingcupsill/core/event-stream';
import { parseCallerHeaders } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import type { EdgeContext } from '../context.js';
import type { EdgeParts } from '../types.js';
import { LATE_LAG_MS } from '../overload.js';
import { createResponseSink } from './exchange.js';
import type { Exchange } from './exchange.js';
import { fingerprintRequest } from './fingerprint.js';
import { createPendingRequests } from './pending-requests.js';
import { discardBody, readBody } from './read-body.js';
import { createRequestQueue } from './request-queue.js';
import type { ReceivedAttributes } from './request-validator.js';

type HandlerParts = Pick<
  EdgeParts,
  | 'validator'
  | 'bodyBudget'
  | 'exchanges'
  | 'loopLag'
  | 'acceptQueue'
  | 'loop'
  | 'metrics'
  | 'state'
  | 'requestErrors'
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
const MEMORY_FULL_REFUSAL: Refusal = {
  status: 503,
  code: RefusalCode.RouterMemoryFull,
  ran: 'no',
  // A retry usually reaches another router.
  retryAfterMs: 300,
};
const CONNECTIONS_FULL_REFUSAL: Refusal = {
  status: 503,
  code: RefusalCode.RouterConnectionsFull,
  ran: 'no',
  // A retry usually reaches another router.
  retryAfterMs: 300,
};
/** Refusals of requests whose bodies aren't kept; none if the connection is broken. */
const REFUSALS_BY_REASON: Record<string, Refusal | undefined> = {
  'too-large': BODY_TOO_LARGE_REFUSAL,
  'no-memory': MEMORY_FULL_REFUSAL,
  'too-many-pieces': BODY_TOO_LARGE_REFUSAL,
};
/** Wait for the event loop, as a fraction of a request's latency objective, above which another router serves the request better. */
const MAX_WAIT_FRACTION = 0.25;
/** The same for the wait of a new connection, of which only the most that it can have been is known. */
const MAX_ACCEPT_WAIT_FRACTION = 0.5;

/** Handlers of callers' requests. */
export interface RequestHandlers {
  onRequest(req: IncomingMessage, res: ServerResponse): void;
  /** Refuses a request that arrives while the router is exiting. */
  onLateRequest(req: IncomingMessage, res: ServerResponse): void;
  /** Refuses a request on a connection for which the router has no descriptors. */
  onExcessRequest(req: IncomingMessage, res: ServerResponse): void;
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

function createExchange(request: ReceivedRequest, id: string, receivedAtMs: number): Exchange {
  const { route, resumeAfter } = request.attributes;
  const isResumable = route.retryPolicy === RetryPolicy.Resume;
  return {
    ...request,
    id,
    receivedAtMs,
    responseStarted: false,
    sink: createResponseSink(request.res),
    streamJoin: createStreamJoin({ isResumable, resumeAfter }),
    usedSockets: new Set(),
    bufferedResponse: undefined,
  };
}

/** Creates the handlers of the server for callers. */
export function createRequestHandlers(ctx: EdgeContext, parts: HandlerParts): RequestHandlers {
  const { clock, random } = ctx;
  const { validator, bodyBudget, exchanges, loopLag, acceptQueue, loop } = parts;
  const { protect } = parts.requestErrors;
  const queue = createRequestQueue(clock, () => acceptQueue.waitMs() >= LATE_LAG_MS, setImmediate);
  const pending = createPendingRequests(ctx, parts);
  let requestCount = 0;

  function submit(request: ReceivedRequest): void {
    pending.remove(request.res);
    requestCount += 1;
    const id = `${request.headers.attemptId ?? 'none'}-${requestCount}`;
    const nowMs = clock();
    exchanges.add(createExchange(request, id, nowMs));
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
        if (isBusy) pending.reject(res, headers, BUSY_REFUSAL);
        else submit(request);
      });
    });
  }

  function receive(req: IncomingMessage, res: ServerResponse): void {
    const headers = parseCallerHeaders(req.headers);
    const guard = (step: () => void): void => protect(res, headers.attemptId, step);
    const refuse = (refusal: Refusal): void =>
      guard(() => {
        if (pending.has(res)) pending.reject(res, headers, refusal);
      });
    const validation = validator.validate(req, headers, clock());
    const maxBytes = validator.maxBodyBytes();
    pending.add(res, headers);
    if (!validation.ok) {
      discardBody(req, maxBytes, () => refuse(validation.refusal));
      return;
    }
    const { attributes } = validation;
    const maxAcceptWaitMs = attributes.route.objectiveMs * MAX_ACCEPT_WAIT_FRACTION;
    // Without reading the body, the refusal costs least, and the connections behind this one are accepted sooner.
    if (acceptQueue.takeWaitMs(req.socket) > maxAcceptWaitMs) {
      res.shouldKeepAlive = false;
      refuse(BUSY_REFUSAL);
      return;
    }
    const reservation = bodyBudget.open(attributes.account);
    res.on('close', reservation.release);
    readBody(req, { maxBytes, reservation }, (result) => {
      if (!result.ok) {
        const refusal = REFUSALS_BY_REASON[result.reason];
        if (refusal !== undefined) refuse(refusal);
        return;
      }
      if (!pending.has(res)) return;
      guard(() => {
        const received = addFingerprint(req, headers, attributes, result.digest);
        submitIfConnected({ req, res, headers, attributes: received, body: result.body });
      });
    });
  }

  function refuseUnread(req: IncomingMessage, res: ServerResponse, refusal: Refusal): void {
    protect(res, undefined, () => pending.reject(res, parseCallerHeaders(req.headers), refusal));
  }

  return {
    onRequest: (req, res) => protect(res, undefined, () => receive(req, res)),
    onLateRequest: (req, res) => refuseUnread(req, res, createDrainingRefusal()),
    onExcessRequest: (req, res) => refuseUnread(req, res, CONNECTIONS_FULL_REFUSAL),
    refusePending: () => pending.rejectAll(createDrainingRefusal()),
  };
}
