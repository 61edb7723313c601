/** Closing of a WebSocket, bounded in time if the peer doesn't respond. */
import type { WebSocket } from 'ws';

/** Maximum length of the close reason; below the 123 bytes that RFC 6455 allows. */
const MAX_CLOSE_REASON_BYTES = 120;
/** Time to wait for the peer's close frame before the connection is terminated. */
const CLOSE_TIMEOUT_MS = 1000;

/** Sends a close frame after all pending data, with the reason truncated to the maximum length. Terminates a socket that isn't open. */
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
