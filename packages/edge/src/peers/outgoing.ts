/** Links that this router dials, over which it sends its reports. */
import { doublingMs } from '@kingcupsill/core/backoff';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { WebSocket } from 'ws';

/** Dialled links. */
export interface OutgoingLinks {
  /** Sets the addresses to keep links to. */
  setAddresses(addresses: ReadonlySet<string>): void;
  /** Sends to all links that keep up; returns how many those are. */
  send(bytes: () => Buffer): number;
  /** Ends links that are silent, and asks the others for a sign of life. */
  checkLiveness(): void;
  close(): void;
}

interface Dialled {
  address: string;
  socket: WebSocket | undefined;
  aliveAtMs: number;
  failures: number;
  redial: NodeJS.Timeout | undefined;
}

/** Silence after which a link counts as broken: three checks. */
export const LINK_TIMEOUT_MS = 3000;
/** Unsent bytes beyond which a peer is left out of a report; what it misses is in later totals. */
const MOST_BUFFERED_BYTES = 64 * 1024;
/** Pauses between attempts; they double from the first to the longest. */
const REDIAL = { firstMs: 200, longestMs: 3000 };
/** Several times the longest way between regions. */
const HANDSHAKE_TIMEOUT_MS = 1000;

/** Creates the links, none at first. */
export function createOutgoingLinks(clock: Clock, logger: Logger): OutgoingLinks {
  const peers = new Map<string, Dialled>();

  function redialLater(peer: Dialled): void {
    if (peers.get(peer.address) !== peer) return;
    const ms = doublingMs(peer.failures, REDIAL);
    peer.failures += 1;
    peer.redial = setTimeout(() => dial(peer), ms);
  }

  function dial(peer: Dialled): void {
    const socket = new WebSocket(`ws://${peer.address}`, {
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    const alive = (): void => {
      peer.aliveAtMs = clock();
    };
    peer.socket = socket;
    socket.on('open', () => {
      peer.failures = 0;
      alive();
    });
    socket.on('pong', alive);
    // A close follows each error, and dials again.
    socket.on('error', (err) => {
      logger.debug('peer-link-failed', { address: peer.address, reason: err.message });
    });
    socket.on('close', () => {
      peer.socket = undefined;
      redialLater(peer);
    });
  }

  function add(address: string): void {
    if (peers.has(address)) return;
    const peer = { address, socket: undefined, aliveAtMs: 0, failures: 0, redial: undefined };
    peers.set(address, peer);
    dial(peer);
  }

  function hangUp(peer: Dialled): void {
    peers.delete(peer.address);
    clearTimeout(peer.redial);
    peer.socket?.terminate();
  }

  function openSockets(): { socket: WebSocket; aliveAtMs: number }[] {
    return [...peers.values()].flatMap(({ socket, aliveAtMs }) =>
      socket?.readyState === WebSocket.OPEN ? [{ socket, aliveAtMs }] : [],
    );
  }

  return {
    setAddresses(addresses) {
      [...peers.values()].filter(({ address }) => !addresses.has(address)).forEach(hangUp);
      addresses.forEach(add);
    },
    send(bytes) {
      const ready = openSockets().filter(
        ({ socket }) => socket.bufferedAmount <= MOST_BUFFERED_BYTES,
      );
      ready.forEach(({ socket }) => socket.send(bytes()));
      return ready.length;
    },
    checkLiveness() {
      const silentBefore = clock() - LINK_TIMEOUT_MS;
      openSockets().forEach(({ socket, aliveAtMs }) => {
        if (aliveAtMs < silentBefore) socket.terminate();
        else socket.ping();
      });
    },
    close: () => [...peers.values()].forEach(hangUp),
  };
}
