/** HTTP server for callers: keep-alive connections, their limits, and graceful shutdown. */
import { getOwn } from '@kingcupsill/core/collections';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@kingcupsill/core/direct';
import { parseCallerHeaders } from '@kingcupsill/prepared-platform';
import { callAfter, closeServer, polled, repeatEvery } from '@kingcupsill/runtime';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { listenWhenFree } from '../listen-when-free.js';
import { ACCEPT_QUEUE_CAPACITY } from './accept-queue.js';
import type { AcceptQueue } from './accept-queue.js';
import { createConnectionTable } from './connection-table.js';
import type { ConnectionTable, ConnectionTotals } from './connection-table.js';
import { createPacedInput } from './paced-input.js';

/** Options of the server for callers. */
export interface CallerServerOptions {
  host: string;
  port: number;
  /** Returns the limits in force; undefined before a configuration is known. */
  limits: () => CallerLimits | undefined;
  onRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Called in place of `onRequest` for requests that must not run: shortly before the server stops listening, and afterwards. */
  onLateRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Called in place of `onRequest` on connections beyond `maxConnections`. */
  onExcessRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Maximum number of connections that are served. */
  maxConnections: number;
  /** Maximum number of further connections, which get a refusal. */
  maxRefusedConnections: number;
  /** Memory in bytes for what callers have sent ahead of the answers to earlier requests. */
  maxWaitingBytes: number;
  acceptQueue: AcceptQueue;
  clock: Clock;
  logger: Logger;
  stopping?: AbortSignal;
}

/** Server for callers. */
export interface CallerServer {
  /** Makes each further response close its connection. */
  startDrain(): void;
  /**
   * Stops accepting connections, reads what has arrived and closes idle connections, except for those whose first request may be on its
   * way.
   */
  stopListening(): Promise<void>;
  openRequestCount(): number;
  /** Number of connections on which no request has arrived. */
  unusedConnectionCount(): number;
  /** Number of idle connections on which another request may be on its way. */
  keptConnectionCount(): number;
  connectionTotals(): ConnectionTotals;
  close(): Promise<void>;
}

/** Idle timeout before a configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Delay between the idle timeout, until which callers may use a connection, and its closing. */
const IDLE_CLOSE_DELAY_MS = 1000;
const SWEEP_PERIOD_MS = 500;
/**
 * Time after the start of the drain from which requests are late: the platform sends none on new connections any more, and the refusal
 * moves those on kept connections to another router before this one closes them. Which requests can still end is decided at their sends.
 */
const LATE_AFTER_MS = 2500;
/** Maximum time to receive a body. */
const RECEIVE_TIMEOUT_MS = 30_000;
/** Time in which the next request arrives on a kept connection whose answer has ended after the router stopped listening. */
const NEXT_REQUEST_MS = 300;

/** Number of open requests from which a connection's further requests wait. */
const MAX_OPEN_REQUESTS = 16;

const SERVER_OPTIONS = {
  // A request without a host is refused as others are, so that it counts towards the limits of open requests.
  requireHostHeader: false,
  // Disabled: Node's timers may act before what has arrived is read. The periodic sweep closes idle and stalled connections.
  keepAliveTimeout: 0,
  headersTimeout: 0,
  requestTimeout: 0,
  // Limit of the parser. The configured limit is checked afterwards.
  maxHeaderSize: 64 * 1024,
  noDelay: true,
};

/** Status lines for malformed requests by the parser's error code. */
const STATUS_LINE_BY_ERROR: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

function formatMalformedAnswer(code: string | undefined): string {
  const status = getOwn(STATUS_LINE_BY_ERROR, code ?? '') ?? '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}

/** Creates the handler of errors of callers' connections, and of requests that can't be parsed. */
function createErrorHandler(
  connections: ConnectionTable,
  logger: Logger,
): (err: NodeJS.ErrnoException, socket: Socket) => void {
  return (err, socket) => {
    // The rest of what was malformed is read and discarded, since a reset may overtake the answer to it.
    if (socket.writableEnded && err.code !== 'ECONNRESET') return;
    if (!socket.writable || !connections.isIdle(socket) || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    logger.warn('request-malformed', { code: err.code });
    connections.end(socket, formatMalformedAnswer(err.code));
  };
}

/** Discards a request that can't be answered, and so must not run. */
function discard(req: IncomingMessage, logger: Logger): void {
  const { attemptId } = parseCallerHeaders(req.headers);
  logger.info('request-unanswered', { attemptId });
  req.resume();
}

/** Answers as Node does by itself, without a trace for the limits of open requests. */
export function refuseExpectation(res: ServerResponse): void {
  res.writeHead(417);
  res.end();
}

/** Starts the server. */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const connections = createConnectionTable(options.clock, options.maxConnections);
  const input = createPacedInput({ ...options, maxOpenRequests: MAX_OPEN_REQUESTS });
  const phase = { closing: false, drainedFromMs: Number.POSITIVE_INFINITY };
  const isLate = (): boolean =>
    phase.closing || options.clock() - phase.drainedFromMs >= LATE_AFTER_MS;

  /** Responses behind which their connections close. */
  const lastResponses = new WeakMap<Socket, ServerResponse>();

  function closeWhenUnused(socket: Socket): void {
    callAfter(NEXT_REQUEST_MS, () => connections.closeIfIdle(socket));
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    if (socket.destroyed) return;
    input.startRequest(req, res);
    const earlier = lastResponses.get(socket);
    // It arrived behind a response that has announced the close of the connection.
    if (socket.writableEnded || earlier?.headersSent === true) {
      discard(req, options.logger);
      return;
    }
    if (earlier !== undefined) earlier.shouldKeepAlive = true;
    const isServed = connections.isServed(socket);
    connections.requestStarted(socket, req);
    res.sendDate = false;
    if (!isServed || options.clock() >= phase.drainedFromMs) {
      res.shouldKeepAlive = false;
      lastResponses.set(socket, res);
    }
    res.on('close', () => {
      connections.requestEnded(socket, res.writableFinished);
      if (phase.closing) closeWhenUnused(socket);
    });
    if (isLate()) options.onLateRequest(req, res);
    else if (!isServed) options.onExcessRequest(req, res);
    // A request behind an open one is refused, so that the connection closes soon.
    else if (earlier !== undefined) options.onLateRequest(req, res);
    else options.onRequest(req, res);
  }

  const server = createServer(SERVER_OPTIONS, onRequest);
  server.on('checkExpectation', (req, res) => {
    input.startRequest(req, res);
    refuseExpectation(res);
  });
  server.on('connection', (socket) => {
    options.acceptQueue.recordAccepted(socket);
    connections.add(socket);
    input.add(socket);
  });
  server.on('clientError', createErrorHandler(connections, options.logger));
  const { host, port, logger, stopping } = options;
  server.maxConnections = options.maxConnections + options.maxRefusedConnections;
  server.on('drop', () => logger.warn('connection-dropped', { limit: server.maxConnections }));
  const policy = { listener: 'callers', isRequired: true, logger, stopping };
  await listenWhenFree(server, { host, port, backlog: ACCEPT_QUEUE_CAPACITY, ...policy });
  const sweepTimer = repeatEvery(SWEEP_PERIOD_MS, () => {
    const idleTimeoutMs = options.limits()?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    connections.closeIdle(idleTimeoutMs + IDLE_CLOSE_DELAY_MS);
    connections.closeStalled(RECEIVE_TIMEOUT_MS);
  });

  return {
    startDrain() {
      phase.drainedFromMs = options.clock();
    },
    async stopListening() {
      phase.closing = true;
      // The method of the HTTP server also closes the idle connections, on which requests may have arrived.
      NetServer.prototype.close.call(server);
      await polled();
      connections.closeUsed();
    },
    openRequestCount: connections.openRequestCount,
    unusedConnectionCount: connections.unusedCount,
    keptConnectionCount: connections.keptCount,
    connectionTotals: connections.totals,
    async close() {
      sweepTimer.close();
      await closeServer(server);
    },
  };
}
