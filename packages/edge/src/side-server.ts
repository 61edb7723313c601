/** HTTP server besides the one for callers: readiness, metrics and links. Its callers send short requests without a body. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Logger } from '@kingcupsill/runtime';
import { refuseExpectation } from './callers/caller-server.js';
import { createPacedInput } from './callers/paced-input.js';

/** Options of a server. */
export interface SideServerOptions {
  /** Name of the listener in the log. */
  listener: string;
  /** Maximum number of connections, without upgraded ones. */
  maxConnections: number;
  logger: Logger;
}

const SERVER_OPTIONS = {
  maxHeaderSize: 8 * 1024,
  headersTimeout: 5000,
  requestTimeout: 5000,
  connectionsCheckingInterval: 1000,
  requireHostHeader: false,
};
/** Requests that are open on one connection at a time. */
const MAX_OPEN_REQUESTS = 1;
/** Memory for what all connections have sent ahead. */
const MAX_WAITING_BYTES = 1024 * 1024;

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

/**
 * Creates a server that doesn't listen yet. Beyond its connections, the oldest one that has sent no request is closed in favour of a
 * new one, or else the oldest, so that connections without use can't keep others out.
 */
export function createSideServer(
  { listener, maxConnections, logger }: SideServerOptions,
  onRequest: (req: IncomingMessage, res: ServerResponse) => void,
): Server {
  const unused = new Set<Socket>();
  const used = new Set<Socket>();
  const input = createPacedInput({
    clock: () => performance.now(),
    logger,
    maxOpenRequests: MAX_OPEN_REQUESTS,
    maxWaitingBytes: MAX_WAITING_BYTES,
  });

  function remove(socket: Socket): void {
    unused.delete(socket);
    used.delete(socket);
  }

  const server = createServer(SERVER_OPTIONS, (req, res) => {
    const { socket } = req;
    if (socket.destroyed) return;
    if (unused.delete(socket)) used.add(socket);
    // The body of a request is not read any further.
    if (hasBody(req)) res.shouldKeepAlive = false;
    input.startRequest(req, res);
    if (req.headers.host === undefined) res.writeHead(400).end();
    else onRequest(req, res);
  });
  server.on('checkExpectation', (req, res) => {
    input.startRequest(req, res);
    refuseExpectation(res);
  });
  server.on('connection', (socket: Socket) => {
    if (unused.size + used.size >= maxConnections) {
      const [oldest = [...used][0]] = unused;
      logger.warn('side-connection-closed', { listener, limit: maxConnections });
      oldest?.destroy();
      if (oldest !== undefined) remove(oldest);
    }
    unused.add(socket);
    input.add(socket);
    socket.on('close', () => remove(socket));
  });
  server.on('upgrade', (_req, socket) => {
    remove(socket as Socket);
    input.release(socket as Socket);
  });
  return server;
}
