/** Links that other routers dial, over which their reports come. */
import type { RouterReport } from '@kingcupsill/core/direct';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { LINK_TIMEOUT_MS } from './outgoing.js';

/** Options of the incoming side. */
export interface IncomingLinksOptions {
  host: string;
  port: number;
  clock: Clock;
  logger: Logger;
  decode: (bytes: Buffer) => RouterReport;
  onReport: (report: RouterReport) => void;
  /** A router that has reported is gone or silent. */
  onPeerLost: (router: string) => void;
}

/** Accepted links. */
export interface IncomingLinks {
  checkLiveness(): void;
  close(): void;
}

interface Peer {
  router: string | undefined;
  aliveAtMs: number;
}

/** Largest report: a few hundred bytes for each backend server and account. */
const MOST_REPORT_BYTES = 1024 * 1024;

/** Starts listening. */
export async function createIncomingLinks(options: IncomingLinksOptions): Promise<IncomingLinks> {
  const { clock, logger } = options;
  const peers = new Map<WebSocket, Peer>();
  const server = new WebSocketServer({
    host: options.host,
    port: options.port,
    perMessageDeflate: false,
    maxPayload: MOST_REPORT_BYTES,
  });

  function receive(socket: WebSocket, peer: Peer, bytes: Buffer): void {
    peer.aliveAtMs = clock();
    let report: RouterReport;
    try {
      report = options.decode(bytes);
    } catch (err) {
      logger.warn('peer-report-malformed', { err });
      socket.terminate();
      return;
    }
    if (peer.router === undefined) logger.info('peer-linked', { router: report.router });
    peer.router = report.router;
    options.onReport(report);
  }

  function leave(socket: WebSocket, { router }: Peer): void {
    peers.delete(socket);
    if (router === undefined) return;
    logger.info('peer-lost', { router });
    options.onPeerLost(router);
  }

  server.on('connection', (socket) => {
    const peer: Peer = { router: undefined, aliveAtMs: clock() };
    peers.set(socket, peer);
    socket.on('ping', () => {
      peer.aliveAtMs = clock();
    });
    socket.on('message', (bytes: Buffer) => receive(socket, peer, bytes));
    // A close follows each error.
    socket.on('error', (err) => logger.debug('peer-link-failed', { reason: err.message }));
    socket.on('close', () => leave(socket, peer));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve);
    server.once('error', reject);
  });

  return {
    checkLiveness() {
      const silentBefore = clock() - LINK_TIMEOUT_MS;
      peers.forEach(({ aliveAtMs }, socket) => {
        if (aliveAtMs < silentBefore) socket.terminate();
      });
    },
    close() {
      peers.forEach((_peer, socket) => socket.terminate());
      server.close();
    },
  };
}
