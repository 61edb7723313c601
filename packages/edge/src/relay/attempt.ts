/** Attempt to run a request at a backend server. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import { isEventStream } from '@kingcupsill/core/event-stream';
import { callAfter } from '@kingcupsill/runtime';
import { classifyResponseHead } from './classify-response-head.js';
import { enableResetDetection, getBodyFraming } from './close-delimited.js';
import { endAtFramingTrailer } from './framing-trailers.js';
import { limitPieces } from './piece-limit.js';
import type { PieceLimit, PieceLimitOptions } from './piece-limit.js';
import { bufferResponse, discardResponse } from './read-response.js';
import type { Protect, ResponseHandlers } from './read-response.js';
import { getRunHead, relayEvents } from './relay-events.js';
import type { StreamOptions } from './relay-events.js';
import type { ResponseMemory } from './response-memory.js';
import type { ServerConnections } from './server-connections.js';
import { BodyFraming } from './types.js';
import type {
  AttemptListener,
  AttemptRequest,
  BufferedResponse,
  ReceivedAmount,
  ResponseSink,
  RunningAttempt,
} from './types.js';

/** Connect timeout: a few times the latency between regions, but below the one second after which TCP retransmits a lost SYN. */
const CONNECT_TIMEOUT_MS = 500;
/** Maximum size of the head of a response, and of its trailers. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Maximum number of interim responses (status 1xx) before the final one. */
const MAX_INTERIM_RESPONSES = 8;
/** Maximum size of a body of which the kernel may still send the rest once its attempt has been abandoned. */
const MAX_LEFT_BODY_BYTES = 64 * 1024;

/** Errors of a connection for which this router has no descriptor or memory. */
const OWN_ERRORS = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']);

function classifyUnsent(errorCode: string | undefined): AttemptOutcome {
  return OWN_ERRORS.has(errorCode ?? '') ? AttemptOutcome.Unopened : AttemptOutcome.Unsent;
}

function openRequest(connections: ServerConnections, req: AttemptRequest): ClientRequest {
  const { maxIdleMs = Number.POSITIVE_INFINITY, usedSockets } = req;
  connections.prune(
    req.host,
    req.port,
    (socket, idleMs) => idleMs > maxIdleMs || usedSockets.has(socket),
  );
  const clientReq = httpRequest({
    agent: connections.agent,
    host: req.host,
    port: req.port,
    method: req.method,
    path: req.path,
    maxHeaderSize: MAX_HEAD_BYTES,
    // Node's types lack the array form, which preserves order, case and repeated headers.
    headers: req.headers as unknown as Record<string, string>,
    setHost: false,
  });
  clientReq.on('socket', (socket) => usedSockets.add(socket));
  return clientReq;
}

/** Calls `onTimeout` if the connection isn't established in time. Returns a function that returns whether it is established. */
function watchConnection(clientReq: ClientRequest, onTimeout: () => void): () => boolean {
  let connected = false;
  clientReq.on('socket', (socket) => {
    connected = !socket.connecting && !socket.destroyed;
    if (!socket.connecting) return;
    const timer = callAfter(CONNECT_TIMEOUT_MS, onTimeout);
    socket.once('connect', () => {
      connected = true;
      timer.close();
    });
    socket.once('close', timer.close);
  });
  return () => connected;
}

/** Returns whether a successful response is passed on event by event. A whole answer is buffered, unless a stream has begun. */
function isRelayed(
  { streaming }: AttemptRequest,
  res: IncomingMessage,
  sink: ResponseSink,
): boolean {
  return streaming && (sink.isHeadSent() || isEventStream(getRunHead(res)));
}

/** Ends the connection. A mere close would leave in the kernel what a slow server hasn't read of a large body. */
function abandon(clientReq: ClientRequest, { body }: AttemptRequest): void {
  // The connection of a request that has ended well may be in use again.
  if (clientReq.destroyed) return;
  if (body.length > MAX_LEFT_BODY_BYTES) clientReq.socket?.resetAndDestroy();
  clientReq.destroy();
}

/** What an attempt receives. */
interface Reception {
  /** Undefined before its head. */
  res: IncomingMessage | undefined;
  /** Limit on the response; undefined before its head. */
  limit: PieceLimit | undefined;
  amount(): ReceivedAmount;
  /**
   * Returns whether the whole response has arrived, so that the end of its connection says nothing about it; the rest may still wait
   * for a slow caller.
   */
  isComplete(): boolean;
  /** See `RunningAttempt`. */
  isSilent(): boolean;
  /** Passes on what precedes an error, which is sound. Returns whether it is the whole response. */
  endBefore(errorCode: string | undefined): boolean;
}

function createReception(clientReq: ClientRequest): Reception {
  let bytesReadBefore = 0;
  let bytesExamined = 0;
  clientReq.on('socket', (socket) => {
    bytesReadBefore = socket.bytesRead;
    bytesExamined = bytesReadBefore;
  });
  const reception: Reception = {
    res: undefined,
    limit: undefined,
    amount: () => ({
      receivedBytes: (clientReq.socket?.bytesRead ?? 0) - bytesReadBefore,
      ...reception.limit?.received(),
    }),
    isComplete: () => reception.res?.complete === true,
    isSilent() {
      const { socket } = clientReq;
      if (socket === null) return false;
      const hasDelivered = socket.bytesRead > bytesExamined;
      bytesExamined = socket.bytesRead;
      // What is paused waits for its caller.
      return !hasDelivered && reception.res?.isPaused() !== true;
    },
    endBefore(errorCode) {
      reception.limit?.flush();
      const { res } = reception;
      return reception.isComplete() || (res !== undefined && endAtFramingTrailer(res, errorCode));
    },
  };
  return reception;
}

/** Abandons the request, and the idle connections that may have gone silent with its own. Returns the number of those. */
function cancelRequest(
  connections: ServerConnections,
  req: AttemptRequest,
  clientReq: ClientRequest,
  reception: Reception,
): number {
  const { receivedBytes } = reception.amount();
  const { socket } = clientReq;
  abandon(clientReq, req);
  if (socket === null || receivedBytes > 0) return 0;
  return connections.closeDoubtful(req.host, req.port, socket);
}

function limitInterimResponses(
  clientReq: ClientRequest,
  onExceeded: (detail: string) => void,
): void {
  let count = 0;
  clientReq.on('information', () => {
    count += 1;
    if (count > MAX_INTERIM_RESPONSES) onExceeded('too many interim responses');
  });
}

/** Only chunks and streams are more work than their bytes. */
function limitWork(res: IncomingMessage, options: PieceLimitOptions): PieceLimit | undefined {
  const isLimited = options.isStream || getBodyFraming(res) === BodyFraming.Chunked;
  return isLimited ? limitPieces(res, options) : undefined;
}

/** Response whose body matters. */
interface ResponseToRead {
  res: IncomingMessage;
  isStream: boolean;
  limit: PieceLimit | undefined;
}

function readResponse(
  { res, isStream, limit }: ResponseToRead,
  memory: ResponseMemory,
  options: StreamOptions,
  handlers: ResponseHandlers,
): void {
  const { listener } = options;
  if (!isStream) {
    listener.onBegun();
    bufferResponse(res, memory, listener, handlers);
    return;
  }
  const onDelivered: AttemptListener['onDelivered'] = (lastEventId) => {
    limit?.startNextEvent();
    listener.onDelivered(lastEventId);
  };
  relayEvents(res, { ...options, listener: { ...listener, onDelivered } }, handlers);
}

/** Starts an attempt. The listener's `onEnded` is called exactly once, unless the attempt is cancelled. */
export function startAttempt(
  connections: ServerConnections,
  req: AttemptRequest,
  sink: ResponseSink,
  listener: AttemptListener,
): RunningAttempt {
  const clientReq = openRequest(connections, req);
  const isConnected = watchConnection(clientReq, () => fail('connect timeout'));
  let ended = false;
  const reception = createReception(clientReq);

  function end(outcome: AttemptOutcome, detail: string, response?: BufferedResponse): void {
    if (ended) return;
    ended = true;
    listener.onEnded(outcome, detail, response, reception.amount());
  }

  function fail(detail: string, code?: string): void {
    end(isConnected() ? AttemptOutcome.Unknown : classifyUnsent(code), detail);
    abandon(clientReq, req);
  }

  /** Ends the attempt at a server that answers with a response that can't be passed on. */
  function invalidate(detail: string): void {
    end(AttemptOutcome.Invalid, detail);
    clientReq.destroy();
  }

  /** Runs a callback of the response; an error in it ends this attempt and nothing else. */
  const protect: Protect =
    (callback) =>
    (...args) => {
      try {
        callback(...args);
      } catch (err) {
        listener.onError(err);
        fail('internal error');
      }
    };

  function onResponse(res: IncomingMessage): void {
    const { responseMemory: memory } = connections;
    reception.res = res;
    const expected = { attemptId: req.attemptId, isReusedConnection: clientReq.reusedSocket };
    const { announcement, detail, isFinal, outcome } = classifyResponseHead(res, expected);
    if (announcement !== undefined) listener.onAnnounced(announcement);
    const isStream = outcome === AttemptOutcome.Complete && isRelayed(req, res, sink);
    const { crowdedReads } = connections;
    const onExceeded = protect(invalidate);
    const limit = limitWork(res, { crowdedReads, isStream, onExceeded });
    reception.limit = limit;
    if (getBodyFraming(res) === BodyFraming.Close) enableResetDetection(res);
    res.on('error', (err) => fail(err.message));
    res.on('close', () => fail('response ended early'));
    if (isFinal) {
      end(outcome, detail);
      if (outcome === AttemptOutcome.Unknown) clientReq.destroy();
      else discardResponse(res, () => clientReq.destroy());
      return;
    }
    const handlers: ResponseHandlers = {
      protect,
      onComplete(response: BufferedResponse | undefined): void {
        // A connection can't be reused while the request is still being sent.
        if (!clientReq.writableFinished) clientReq.destroy();
        end(outcome, detail, response);
      },
      onFailure: fail,
      onInvalid: invalidate,
      isEnded: () => ended,
    };
    readResponse({ res, isStream, limit }, memory, { ...req, sink, listener, memory }, handlers);
  }

  clientReq.on('response', protect(onResponse));
  limitInterimResponses(clientReq, fail);
  clientReq.on('error', (err: NodeJS.ErrnoException) => {
    if (!reception.endBefore(err.code)) fail(err.message, err.code);
  });
  clientReq.on('close', () => reception.isComplete() || fail('connection closed'));
  clientReq.end(req.body);

  return {
    cancel() {
      ended = true;
      return cancelRequest(connections, req, clientReq, reception);
    },
    isSilent: reception.isSilent,
  };
}
