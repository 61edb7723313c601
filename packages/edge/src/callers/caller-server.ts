/** HTTP server for callers: kept connections, their limits, and shutdown without cutting requests. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@kingcupsill/core/direct';
import { closeServer, listenOn } from '@kingcupsill/runtime';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { repeatEvery } from '../closable.js';
import { createConnectionTable } from './connection-table.js';

/** Options of the server. */
export interface CallerServerOptions {
  host: string;
  port: number;
  /** Limits in force; undefined before a configuration is known. */
  limits: () => CallerLimits | undefined;
  onRequest: (req: IncomingMessage, res: ServerResponse) => void;
  clock: Clock;
  logger: Logger;
}

/** The server for callers. */
export interface CallerServer {
  /** Answers from now on end their connections. */
  startDrain(): void;
  /** Takes no new connections and closes idle ones. */
  stopListening(): void;
  openRequestCount(): number;
  close(): Promise<void>;
}

/** Idle time before a configuration is known. */
const DEFAULT_IDLE_MS = 15_000;
/** Callers may use a connection up to the idle time-out; it is closed this much later. */
const IDLE_MARGIN_MS = 1000;
const SWEEP_PERIOD_MS = 500;
/** Longest time for a header and a body to come in; it includes the idle time before a connection's first byte. */
const RECEIVE_TIMEOUT_MS = 30_000;

/**
 * Connections that wait to be accepted. The event loop accepts one in each turn, so on a busy processor a long queue only ages:
 * its callers have left before they are read. What doesn't fit goes to another router within a second.
 */
const BACKLOG = 50;

const SERVER_OPTIONS = {
  // Idle connections are closed by the sweep, whose time-out follows the configuration.
  keepAliveTimeout: 0,
  headersTimeout: RECEIVE_TIMEOUT_MS,
  requestTimeout: RECEIVE_TIMEOUT_MS,
  connectionsCheckingInterval: 1000,
  // Bound of the parser; the configuration's own limit is checked after it.
  maxHeaderSize: 64 * 1024,
  noDelay: true,
};

/** Answers to bytes that are no request, by the parser's code. */
const MALFORMED_ANSWERS: Partial<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

function answerMalformed(socket: Socket, code: string | undefined): void {
  const status = MALFORMED_ANSWERS[code ?? ''] ?? '400 Bad Request';
  socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}

/** Starts listening. */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const connections = createConnectionTable(options.clock);
  const phase = { draining: false, closing: false };

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    // It crossed our close: its answer could not be sent, so it must not run.
    if (socket.writableEnded) {
      socket.destroy();
      return;
    }
    connections.requestStarted(socket);
    res.sendDate = false;
    if (phase.draining) res.shouldKeepAlive = false;
    res.on('close', () => {
      connections.requestEnded(socket);
      if (phase.closing && connections.isIdle(socket)) socket.end();
    });
    options.onRequest(req, res);
  }

  function onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || !connections.isIdle(socket) || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    options.logger.warn('request-malformed', { code: err.code });
    answerMalformed(socket, err.code);
  }

  const server = createServer(SERVER_OPTIONS, onRequest);
  server.on('connection', connections.add);
  server.on('clientError', onClientError);
  await listenOn(server, { host: options.host, port: options.port, backlog: BACKLOG });
  const sweeping = repeatEvery(SWEEP_PERIOD_MS, () => {
    const idleMs = options.limits()?.idleTimeoutMs ?? DEFAULT_IDLE_MS;
    connections.closeIdle(idleMs + IDLE_MARGIN_MS);
  });

  return {
    startDrain() {
      phase.draining = true;
    },
    stopListening() {
      phase.closing = true;
      server.close();
      connections.closeIdle(0);
    },
    openRequestCount: connections.openRequestCount,
    async close() {
      sweeping.close();
      await closeServer(server);
    },
  };
}
