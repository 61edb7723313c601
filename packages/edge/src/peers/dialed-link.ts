/** One connection that this router opens to another. */
import { WebSocket } from 'ws';
import { createLiveness } from './liveness.js';
import { createOpenLink } from './open-link.js';
import { SOCKET_OPTIONS } from './types.js';
import type { DialLink } from './types.js';

/** Several times the longest latency between regions. */
const HANDSHAKE_TIMEOUT_MS = 1000;

/** Opens a WebSocket connection. */
export const dialLink: DialLink = (
  { clock, logger, self, nextLinkNumber },
  target,
  role,
  listener,
  onEnded,
) => {
  const socket = new WebSocket(`ws://${target.address}/${role}/${encodeURIComponent(self)}`, {
    ...SOCKET_OPTIONS,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  });
  const liveness = createLiveness(clock);
  let isOpen = false;
  const link = createOpenLink(socket, `to-${role}:${target.name}#${nextLinkNumber()}`);

  socket.on('open', () => {
    isOpen = true;
    liveness.recordTraffic();
    listener.onOpen(link);
  });
  socket.on('pong', liveness.recordTraffic);
  socket.on('message', (bytes: Buffer) => {
    liveness.recordTraffic();
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
      if (liveness.isTimedOut()) socket.terminate();
      else if (isOpen) {
        socket.ping();
        liveness.recordPing();
      }
    },
    isQuiet: () => isOpen && liveness.isQuiet(),
    close: () => socket.terminate(),
  };
};
