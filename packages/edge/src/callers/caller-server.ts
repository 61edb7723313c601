/** HTTP server for callers: kept connections, their limits, and shutdown without cutting requests. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@kingcupsill/core/direct';
import type { Logger } from '@kingcupsill/runtime';

/** Options of the server. */
export interface CallerServerOptions {
  host: string;
  port: number;
  /** Limits in force; undefined before a configuration is known. */
  limits: () => CallerLimits | undefined;
  onRequest: (req: IncomingMessage, res: ServerResponse) => void;
  nowMs: () => number;
  logger: Logger;
}

/** The server for callers. */
export interface CallerServer {
  /** Answers from now on end their connections. */
  startDrain(): void;
  /** Takes no new connections and closes idle ones. */
  stopListening(): void;
  openRequests(): number;
  close(): Promise<void>;
}

/** Bound of the header that the parser accepts; the configuration's own limit is checked after it. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** Idle time before a configuration is known. */
const DEFAULT_IDLE_MS = 15_000;
/** Callers may use a connection up to the idle time-out; it is closed this much later. */
const IDLE_MARGIN_MS = 1000;
const SWEEP_PERIOD_MS = 500;
/** Longest time for a header or a body to come in; a connection may also be idle before its first byte. */
const RECEIVE_TIMEOUT_MS = 30_000;

/** Answers to bytes that are no request. */
const MALFORMED_ANSWERS: Partial<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

interface Connection {
  idleSinceMs: number;
  requests: number;
}

/** Starts listening. */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const { nowMs, logger } = options;
  const connections = new Map<Socket, Connection>();
  let open = 0;
  let draining = false;
  let closing = false;

  function onClosed(socket: Socket): void {
    const connection = connections.get(socket);
    if (connection === undefined) return;
    connection.requests -= 1;
    connection.idleSinceMs = nowMs();
    if (closing && connection.requests === 0) socket.end();
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    const connection = connections.get(req.socket);
    if (connection !== undefined) connection.requests += 1;
    open += 1;
    res.sendDate = false;
    if (draining) res.shouldKeepAlive = false;
    res.on('close', () => {
      open -= 1;
      onClosed(req.socket);
    });
    options.onRequest(req, res);
  }

  function onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = connections.get(socket);
    if (socket.writable && (connection?.requests ?? 0) === 0 && err.code !== 'ECONNRESET') {
      const status = MALFORMED_ANSWERS[err.code ?? ''] ?? '400 Bad Request';
      logger.warn('malformed-request', { code: err.code, status });
      socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
    } else {
      socket.destroy();
    }
  }

  function sweep(): void {
    const idleMs = (options.limits()?.idleTimeoutMs ?? DEFAULT_IDLE_MS) + IDLE_MARGIN_MS;
    const before = nowMs() - idleMs;
    connections.forEach((connection, socket) => {
      if (connection.requests === 0 && connection.idleSinceMs < before) socket.end();
    });
  }

  const server = createServer(
    {
      keepAliveTimeout: 0,
      headersTimeout: RECEIVE_TIMEOUT_MS,
      requestTimeout: RECEIVE_TIMEOUT_MS,
      connectionsCheckingInterval: 1000,
      maxHeaderSize: PARSER_HEADER_BYTES,
      noDelay: true,
    },
    onRequest,
  );
  server.on('connection', (socket) => {
    connections.set(socket, { idleSinceMs: nowMs(), requests: 0 });
    socket.on('close', () => connections.delete(socket));
  });
  server.on('clientError', onClientError);
  const sweeper = setInterval(sweep, SWEEP_PERIOD_MS);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, 1024, resolve);
  });

  return {
    startDrain() {
      draining = true;
    },
    stopListening() {
      closing = true;
      server.close();
      connections.forEach(({ requests }, socket) => {
        if (requests === 0) socket.end();
      });
    },
    openRequests: () => open,
    async close() {
      clearInterval(sweeper);
      server.close();
      server.closeAllConnections();
    },
  };
}
