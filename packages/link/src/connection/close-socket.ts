/** Closes a WebSocket without waiting long for a peer that doesn't answer. */
import type { WebSocket } from 'ws';

const MAX_CLOSE_REASON_BYTES = 120;
/** How long a peer may take to answer a close before the connection is cut. */
const CLOSE_TIMEOUT_MS = 1000;

/** Sends the close frame after what was sent before; a longer reason is cut. */
export function closeSocket(ws: WebSocket, code: number, reason: string): void {
  if (ws.readyState !== ws.OPEN) {
    ws.terminate();
    return;
  }
  const text = Buffer.from(reason).subarray(0, MAX_CLOSE_REASON_BYTES).toString('utf8');
  ws.close(code, text);
  const timer = setTimeout(() => ws.terminate(), CLOSE_TIMEOUT_MS);
  ws.once('close', () => clearTimeout(timer));
}
