/** Receipt of the peer's handshake frame, and refusal of the handshake. */
import type { RawData, WebSocket } from 'ws';
import { closeSocket } from '../connection/close-socket.js';
import { RefusalCode } from '../types.js';
import { REFUSED_CLOSE_CODE } from './handshake.js';
import type { HandshakeResult } from './handshake.js';

const REFUSAL_CODES: ReadonlySet<string> = new Set(Object.values(RefusalCode));

/** Maps a closed connection to the refusal code in its close reason, or to a lost connection. */
function resultForClose(closeCode: number, reason: string): HandshakeResult<never> {
  if (closeCode === REFUSED_CLOSE_CODE && REFUSAL_CODES.has(reason)) {
    return { ok: false, code: reason as RefusalCode, detail: 'refused by the peer' };
  }
  const detail = `closed during the handshake (${closeCode})`;
  return { ok: false, code: RefusalCode.ConnectionLost, detail };
}

/**
 * Calls back once with the first frame, a timeout, or a closed connection. The callback runs synchronously in the frame's event, so
 * that the caller can add listeners before the next frame arrives.
 */
export function receiveFirstFrame(
  ws: WebSocket,
  timeoutMs: number,
  onResult: (result: HandshakeResult<Buffer>) => void,
): void {
  const timer = setTimeout(() => {
    const detail = `no handshake frame in ${timeoutMs} ms`;
    finish({ ok: false, code: RefusalCode.HandshakeTimeout, detail });
  }, timeoutMs);

  function finish(result: HandshakeResult<Buffer>): void {
    clearTimeout(timer);
    ws.off('message', onMessage);
    ws.off('close', onClose);
    onResult(result);
  }

  function onMessage(data: RawData): void {
    finish({ ok: true, value: data as Buffer });
  }

  function onClose(code: number, reason: Buffer): void {
    finish(resultForClose(code, reason.toString('utf8')));
  }

  ws.on('message', onMessage);
  ws.on('close', onClose);
}

/** Closes the connection with the refusal code as the close reason. */
export function refuseHandshake(ws: WebSocket, code: RefusalCode): void {
  closeSocket(ws, REFUSED_CLOSE_CODE, code);
}
