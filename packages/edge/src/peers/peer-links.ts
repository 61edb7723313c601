/** Links between routers: each sends its reports over links that it dials, and takes those of others. */
import type { RouterReport } from '@kingcupsill/core/direct';
import type { Logger } from '@kingcupsill/runtime';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';

/** Options of the links. */
export interface PeerLinkOptions {
  host: string;
  port: number;
  /** Name and incarnation of this router. */
  self: string;
  nowMs: () => number;
  logger: Logger;
  onReport: (report: RouterReport) => void;
  /** A router that reported before is gone or silent. */
  onGone: (router: string) => void;
}

/** Links to all other routers. */
export interface PeerLinks {
  /** Sets the addresses to keep links to. */
  setAddresses(addresses: ReadonlySet<string>): void;
  broadcast(report: RouterReport): void;
  linked(): number;
  close(): void;
}

/** Largest report; at the most a few hundred bytes for each backend server and account. */
const MOST_REPORT_BYTES = 1024 * 1024;
/** Unsent bytes beyond which a peer is left out of a broadcast; what it misses comes in totals later. */
const MOST_BUFFERED_BYTES = 64 * 1024;
/** Time between checks of a link; a link that shows no life over three of them is dialled anew. */
const CHECK_PERIOD_MS = 1000;
const SILENT_AFTER_MS = 3000;
const FIRST_REDIAL_MS = 200;
const LONGEST_REDIAL_MS = 3000;
const HANDSHAKE_TIMEOUT_MS = 1000;

interface Dialled {
  address: string;
  socket: WebSocket | undefined;
  aliveAtMs: number;
  failures: number;
  redial: NodeJS.Timeout | undefined;
}

interface Incoming {
  router: string | undefined;
  aliveAtMs: number;
}

/** Starts listening for links. */
export async function createPeerLinks(options: PeerLinkOptions): Promise<PeerLinks> {
  const { nowMs, logger } = options;
  const packr = new Packr({ useRecords: false });
  const dialled = new Map<string, Dialled>();
  const incoming = new Map<WebSocket, Incoming>();
  const server = new WebSocketServer({
    host: options.host,
    port: options.port,
    perMessageDeflate: false,
    maxPayload: MOST_REPORT_BYTES,
  });

  function receive(from: Incoming, data: Buffer): void {
    from.aliveAtMs = nowMs();
    const report = packr.unpack(data) as RouterReport;
    from.router = report.router;
    options.onReport(report);
  }

  function accept(socket: WebSocket): void {
    const from: Incoming = { router: undefined, aliveAtMs: nowMs() };
    incoming.set(socket, from);
    socket.on('ping', () => {
      from.aliveAtMs = nowMs();
    });
    socket.on('message', (data: Buffer) => {
      try {
        receive(from, data);
      } catch (err) {
        logger.warn('peer-report-malformed', { err });
        socket.terminate();
      }
    });
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      incoming.delete(socket);
      if (from.router === undefined) return;
      logger.info('peer-lost', { router: from.router });
      options.onGone(from.router);
    });
  }

  function redialLater(peer: Dialled): void {
    if (dialled.get(peer.address) !== peer) return;
    const ms = Math.min(LONGEST_REDIAL_MS, FIRST_REDIAL_MS * 2 ** Math.min(peer.failures, 10));
    peer.failures += 1;
    peer.redial = setTimeout(() => dial(peer), ms);
  }

  function dial(peer: Dialled): void {
    const socket = new WebSocket(`ws://${peer.address}`, {
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    peer.socket = socket;
    peer.aliveAtMs = nowMs();
    socket.on('open', () => {
      peer.failures = 0;
      peer.aliveAtMs = nowMs();
    });
    socket.on('pong', () => {
      peer.aliveAtMs = nowMs();
    });
    // A close follows each error, and dials again.
    socket.on('error', (err) => logger.debug('peer-link-failed', { address: peer.address, err }));
    socket.on('close', () => {
      peer.socket = undefined;
      redialLater(peer);
    });
  }

  function hangUp(peer: Dialled): void {
    dialled.delete(peer.address);
    clearTimeout(peer.redial);
    peer.socket?.terminate();
  }

  function check(): void {
    const silentBefore = nowMs() - SILENT_AFTER_MS;
    dialled.forEach(({ socket, aliveAtMs }) => {
      if (socket?.readyState !== WebSocket.OPEN) return;
      if (aliveAtMs < silentBefore) socket.terminate();
      else socket.ping();
    });
    incoming.forEach(({ aliveAtMs }, socket) => {
      if (aliveAtMs < silentBefore) socket.terminate();
    });
  }

  server.on('connection', accept);
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve);
    server.once('error', reject);
  });
  const timer = setInterval(check, CHECK_PERIOD_MS);

  return {
    setAddresses(addresses) {
      dialled.forEach((peer) => {
        if (!addresses.has(peer.address)) hangUp(peer);
      });
      addresses.forEach((address) => {
        if (dialled.has(address)) return;
        const peer = { address, socket: undefined, aliveAtMs: 0, failures: 0, redial: undefined };
        dialled.set(address, peer);
        dial(peer);
      });
    },
    broadcast(report) {
      let bytes: Buffer | undefined;
      dialled.forEach(({ socket }) => {
        if (socket?.readyState !== WebSocket.OPEN) return;
        if (socket.bufferedAmount > MOST_BUFFERED_BYTES) return;
        bytes ??= packr.pack(report);
        socket.send(bytes);
      });
    },
    linked: () => incoming.size,
    close() {
      clearInterval(timer);
      [...dialled.values()].forEach(hangUp);
      incoming.forEach((_from, socket) => socket.terminate());
      server.close();
    },
  };
}
