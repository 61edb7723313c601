/** HTTP server for callers: keep-alive connections, their limits, and graceful shutdown. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@kingcupsill/core/direct';
import { afterNextPoll, closeServer, repeatEvery } from '@kingcupsill/runtime';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { listenWhenFree } from '../listen-when-free.js';
import { createAcceptQueue } from './accept-queue.js';
import { createConnectionTable } from './connection-table.js';
import type { ConnectionTotals } from './connection-table.js';
import type { QueuedResponses } from './queued-responses.js';

/** Options of the server for callers. */
export interface CallerServerOptions {
  host: string;
  port: number;
  /** Returns the limits in force; undefined before a configuration is known. */
  limits: () => CallerLimits | undefined;
  onRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Called in place of `onRequest` shortly before the server stops listening, and afterwards. */
  onLateRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Called in place of `onRequest` on connections beyond `maxConnections`. */
  onExcessRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Maximum number of connections that are served. */
  maxConnections: number;
  /** Maximum number of further connections, which get a refusal. */
  maxRefusedConnections: number;
  queuedResponses: QueuedResponses;
  clock: Clock;
  logger: Logger;
  stopping?: AbortSignal;
}

/** Server for callers. */
export interface CallerServer {
  /** Makes each further response close its connection. */
  startDrain(): void;
  /** Stops accepting connections and closes idle ones, except for those whose first request may be on its way. */
  stopListening(): void;
  openRequestCount(): number;
  /** Number of connections on which no request has arrived. */
  unusedConnectionCount(): number;
  connectionTotals(): ConnectionTotals;
  /** Estimated wait of connections that haven't been accepted yet. */
  acceptWaitMs(): number;
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
/** Maximum time to receive a header and a body, including the idle time before a connection's first byte. */
const RECEIVE_TIMEOUT_MS = 30_000;

/**
 * Maximum number of connections waiting to be accepted. The event loop accepts one per iteration, so with a longer queue on a busy
 * processor callers time out before their requests are read. Connections beyond the limit reach another router within a second.
 */
const BACKLOG = 50;

const SERVER_OPTIONS = {
  // Disabled, since the periodic sweep closes idle connections with the configured timeout.
  keepAliveTimeout: 0,
  headersTimeout: RECEIVE_TIMEOUT_MS,
  requestTimeout: RECEIVE_TIMEOUT_MS,
  connectionsCheckingInterval: 1000,
  // Limit of the parser. The configured limit is checked afterwards.
  maxHeaderSize: 64 * 1024,
  noDelay: true,
};

/** Status lines for malformed requests by the parser's error code. */
const STATUS_LINE_BY_ERROR: Partial<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

function respondMalformed(socket: Socket, code: string | undefined): void {
  const status = STATUS_LINE_BY_ERROR[code ?? ''] ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}

/** Starts the server. */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const connections = createConnectionTable(options.clock, options.maxConnections);
  const { queuedResponses } = options;
  const acceptQueue = createAcceptQueue(BACKLOG, options.clock, afterNextPoll);
  const phase = { closing: false, drainedFromMs: Number.POSITIVE_INFINITY };
  const isLate = (): boolean =>
    phase.closing || options.clock() - phase.drainedFromMs >= LATE_AFTER_MS;

  /** Connections that close behind a response that is still open. */
  const closingSockets = new WeakSet<Socket>();

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    // The request arrived while the router was closing the connection. It must not run, since its response can't be sent.
    if (socket.writableEnded) {
      socket.destroy();
      return;
    }
    // No response is sent behind the one that closes the connection, so the request must not run either.
    if (closingSockets.has(socket) || queuedResponses.isClosing(socket)) {
      req.resume();
      return;
    }
    const isServed = connections.isServed(socket);
    connections.requestStarted(socket);
    queuedResponses.add(socket, res);
    res.sendDate = false;
    if (!isServed || options.clock() >= phase.drainedFromMs) {
      res.shouldKeepAlive = false;
      closingSockets.add(socket);
    }
    res.on('close', () => {
      connections.requestEnded(socket, res.writableFinished);
      if (phase.closing && connections.isIdle(socket)) socket.end();
    });
    // A request may arrive on a kept connection before the close of the response before it has been handled.
    if (isLate()) options.onLateRequest(req, res);
    else if (!isServed) options.onExcessRequest(req, res);
    else options.onRequest(req, res);
  }

  function onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || !connections.isIdle(socket) || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    options.logger.warn('request-malformed', { code: err.code });
    respondMalformed(socket, err.code);
  }

  const server = createServer(SERVER_OPTIONS, onRequest);
  server.on('connection', (socket) => {
    acceptQueue.recordAccepted();
    connections.add(socket);
  });
  server.on('clientError', onClientError);
  const { host, port, logger, stopping } = options;
  server.maxConnections = options.maxConnections + options.maxRefusedConnections;
  server.on('drop', () => logger.warn('connection-dropped', { limit: server.maxConnections }));
  const policy = { listener: 'callers', isRequired: true, logger, stopping };
  await listenWhenFree(server, { host, port, backlog: BACKLOG, ...policy });
  const sweepTimer = repeatEvery(SWEEP_PERIOD_MS, () => {
    const idleTimeoutMs = options.limits()?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    connections.closeIdle(idleTimeoutMs + IDLE_CLOSE_DELAY_MS);
  });

  return {
    startDrain() {
      phase.drainedFromMs = options.clock();
    },
    stopListening() {
      phase.closing = true;
      server.close();
      connections.closeUsed();
    },
    openRequestCount: connections.openRequestCount,
    unusedConnectionCount: connections.unusedCount,
    connectionTotals: connections.totals,
    acceptWaitMs: acceptQueue.waitMs,
    async close() {
      sweepTimer.close();
      await closeServer(server);
    },
  };
}
