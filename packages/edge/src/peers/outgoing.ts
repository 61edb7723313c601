/** Outgoing links, over which the router sends its reports. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { WebSocket } from 'ws';

/** Links that this router dials. */
export interface OutgoingLinks {
  /** Sets the addresses of the routers to stay connected to. */
  setAddresses(addresses: ReadonlySet<string>): void;
  /** Sends to all open links whose send buffer isn't full and returns their number. */
  send(encode: () => Buffer): number;
  /** Terminates links that have timed out and pings the others. */
  checkLiveness(): void;
  close(): void;
}

interface OutgoingPeer {
  address: string;
  socket: WebSocket | undefined;
  lastTrafficMs: number;
  failures: number;
  redialTimer: NodeJS.Timeout | undefined;
}

/** Time without traffic after which a link counts as broken: three periods of the liveness check. */
export const LINK_TIMEOUT_MS = 3000;
/** Send buffer above which a peer is skipped. Later reports contain totals, so nothing is lost. */
const MAX_BUFFERED_BYTES = 64 * 1024;
/** Delays between connection attempts, doubling from the first to the longest. */
const REDIAL_DELAYS = { initialMs: 200, maxMs: 3000 };
/** Several times the longest latency between regions. */
const HANDSHAKE_TIMEOUT_MS = 1000;

/** Creates an empty set of links. */
export function createOutgoingLinks(clock: Clock, logger: Logger): OutgoingLinks {
  const peers = new Map<string, OutgoingPeer>();

  function scheduleRedial(peer: OutgoingPeer): void {
    if (peers.get(peer.address) !== peer) return;
    const delayMs = exponentialBackoffMs(peer.failures, REDIAL_DELAYS);
    peer.failures += 1;
    peer.redialTimer = setTimeout(() => dial(peer), delayMs);
  }

  function dial(peer: OutgoingPeer): void {
    const socket = new WebSocket(`ws://${peer.address}`, {
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    const recordTraffic = (): void => {
      peer.lastTrafficMs = clock();
    };
    peer.socket = socket;
    socket.on('open', () => {
      peer.failures = 0;
      recordTraffic();
    });
    socket.on('pong', recordTraffic);
    // Each error is followed by a close event, whose handler redials.
    socket.on('error', (err) => {
      logger.debug('peer-link-failed', { address: peer.address, reason: err.message });
    });
    socket.on('close', () => {
      peer.socket = undefined;
      scheduleRedial(peer);
    });
  }

  function add(address: string): void {
    if (peers.has(address)) return;
    const peer = {
      address,
      socket: undefined,
      lastTrafficMs: 0,
      failures: 0,
      redialTimer: undefined,
    };
    peers.set(address, peer);
    dial(peer);
  }

  function disconnect(peer: OutgoingPeer): void {
    peers.delete(peer.address);
    clearTimeout(peer.redialTimer);
    peer.socket?.terminate();
  }

  function openSockets(): { socket: WebSocket; lastTrafficMs: number }[] {
    return [...peers.values()].flatMap(({ socket, lastTrafficMs }) =>
      socket?.readyState === WebSocket.OPEN ? [{ socket, lastTrafficMs }] : [],
    );
  }

  return {
    setAddresses(addresses) {
      [...peers.values()].filter(({ address }) => !addresses.has(address)).forEach(disconnect);
      addresses.forEach(add);
    },
    send(encode) {
      const writable = openSockets().filter(
        ({ socket }) => socket.bufferedAmount <= MAX_BUFFERED_BYTES,
      );
      writable.forEach(({ socket }) => socket.send(encode()));
      return writable.length;
    },
    checkLiveness() {
      const timedOutBeforeMs = clock() - LINK_TIMEOUT_MS;
      openSockets().forEach(({ socket, lastTrafficMs }) => {
        if (lastTrafficMs < timedOutBeforeMs) socket.terminate();
        else socket.ping();
      });
    },
    close: () => [...peers.values()].forEach(disconnect),
  };
}
