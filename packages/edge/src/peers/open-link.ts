/** Open link over a WebSocket connection, whichever side has opened it. */
import type { WebSocket } from 'ws';
import { MAX_BUFFERED_BYTES } from './types.js';
import type { OpenLink } from './types.js';

/** Creates the link. */
export function createOpenLink(socket: WebSocket, key: string): OpenLink {
  return {
    key,
    send(bytes) {
      if (socket.bufferedAmount > MAX_BUFFERED_BYTES) return false;
      socket.send(bytes);
      return true;
    },
    close: () => socket.terminate(),
  };
}
