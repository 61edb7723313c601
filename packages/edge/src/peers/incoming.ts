/** Incoming links, over which other routers send their reports. */
import type { RouterReport } from '@kingcupsill/core/direct';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { LINK_TIMEOUT_MS } from './outgoing.js';

/** Options of the incoming links. */
export interface IncomingLinksOptions {
  host: string;
  port: number;
  clock: Clock;
  logger: Logger;
  decode: (bytes: Buffer) => RouterReport;
  onReport: (report: RouterReport) => void;
  /** Called when the link of a router that has sent a report closes or times out. */
  onPeerLost: (router: string) => void;
}

/** Links accepted from other routers. */
export interface IncomingLinks {
  /** Terminates links that have timed out. */
  checkLiveness(): void;
  close(): void;
}

interface Peer {
  router: string | undefined;
  lastTrafficMs: number;
}

/** Maximum size of a report, which has a few hundred bytes per backend server and account. */
const MAX_REPORT_BYTES = 1024 * 1024;

/** Starts the listener. */
export async function createIncomingLinks(options: IncomingLinksOptions): Promise<IncomingLinks> {
  const { clock, logger } = options;
  const peers = new Map<WebSocket, Peer>();
  const server = new WebSocketServer({
    host: options.host,
    port: options.port,
    perMessageDeflate: false,
    maxPayload: MAX_REPORT_BYTES,
  });

  function receive(socket: WebSocket, peer: Peer, bytes: Buffer): void {
    peer.lastTrafficMs = clock();
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

  function removePeer(socket: WebSocket, { router }: Peer): void {
    peers.delete(socket);
    if (router === undefined) return;
    logger.info('peer-lost', { router });
    options.onPeerLost(router);
  }

  server.on('connection', (socket) => {
    const peer: Peer = { router: undefined, lastTrafficMs: clock() };
    peers.set(socket, peer);
    socket.on('ping', () => {
      peer.lastTrafficMs = clock();
    });
    socket.on('message', (bytes: Buffer) => receive(socket, peer, bytes));
    // Each error is followed by a close event.
    socket.on('error', (err) => logger.debug('peer-link-failed', { reason: err.message }));
    socket.on('close', () => removePeer(socket, peer));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve);
    server.once('error', reject);
  });

  return {
    checkLiveness() {
      const timedOutBeforeMs = clock() - LINK_TIMEOUT_MS;
      peers.forEach(({ lastTrafficMs }, socket) => {
        if (lastTrafficMs < timedOutBeforeMs) socket.terminate();
      });
    },
    close() {
      peers.forEach((_peer, socket) => socket.terminate());
      server.close();
    },
  };
}
