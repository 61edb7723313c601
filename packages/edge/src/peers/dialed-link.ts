/** One connection that this router opens to another. */
import { WebSocket } from 'ws';
import { createOpenLink } from './open-link.js';
import { LINK_TIMEOUT_MS, SOCKET_OPTIONS } from './types.js';
import type { LinkContext, LinkListener, LinkRole, LinkTarget } from './types.js';

/** Connection that is open or being opened. */
export interface DialedLink {
  /** Terminates the connection if it has timed out and pings it otherwise. */
  checkLiveness(): void;
  close(): void;
}

/** Several times the longest latency between regions. */
const HANDSHAKE_TIMEOUT_MS = 1000;

/** Opens a connection. `onEnded` is called exactly once, also if the connection was never open. */
export function dialLink(
  { clock, logger, self, nextLinkNumber }: LinkContext,
  target: LinkTarget,
  role: LinkRole,
  listener: LinkListener,
  onEnded: () => void,
): DialedLink {
  const socket = new WebSocket(`ws://${target.address}/${role}/${encodeURIComponent(self)}`, {
    ...SOCKET_OPTIONS,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  });
  let lastTrafficMs = clock();
  let isOpen = false;
  const link = createOpenLink(socket, `to-${role}:${target.name}#${nextLinkNumber()}`);

  function recordTraffic(): void {
    lastTrafficMs = clock();
  }

  socket.on('open', () => {
    isOpen = true;
    recordTraffic();
    listener.onOpen(link);
  });
  socket.on('pong', recordTraffic);
  socket.on('message', (bytes: Buffer) => {
    recordTraffic();
    listener.onMessage(link, bytes);
  });
  // Each error is followed by a close event.
  socket.on('error', (err) => {
    logger.debug('peer-link-failed', { address: target.address, reason: err.message });
  });
  socket.on('close', () => {
    if (isOpen) listener.onClosed(link);
    onEnded();
  });

  return {
    checkLiveness() {
      // The timeout of the handshake is one of silence, and a handshake may be sent without end.
      if (clock() - lastTrafficMs > LINK_TIMEOUT_MS) socket.terminate();
      else if (isOpen) socket.ping();
    },
    close: () => socket.terminate(),
  };
}
