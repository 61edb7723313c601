/** Waits for the peer's handshake frame. */
import type { RawData, WebSocket } from 'ws';
import { closeSocket } from '../connection/close-socket.js';
import { RefusalCode } from '../types.js';
import { REFUSED_CLOSE_CODE } from './handshake.js';
import type { HandshakeResult } from './handshake.js';

const REFUSAL_CODES: ReadonlySet<string> = new Set(Object.values(RefusalCode));

/** Outcome of a closed connection: the refusal that the peer named, if it did. */
function refusalOfClose(closeCode: number, reason: string): HandshakeResult<never> {
  if (closeCode === REFUSED_CLOSE_CODE && REFUSAL_CODES.has(reason)) {
    return { ok: false, code: reason as RefusalCode, detail: 'refused by the peer' };
  }
  const detail = `closed during the handshake (${closeCode})`;
  return { ok: false, code: RefusalCode.ConnectionLost, detail };
}

/**
 * Calls back once, in the event of the frame itself, so that the caller's listeners miss none of the frames that follow. Errors of the
 * connection count as its loss.
 */
export function receiveFirstFrame(
  ws: WebSocket,
  timeoutMs: number,
  onOutcome: (outcome: HandshakeResult<Buffer>) => void,
): void {
  const timer = setTimeout(() => {
    const detail = `no handshake frame in ${timeoutMs} ms`;
    finish({ ok: false, code: RefusalCode.HandshakeTimeout, detail });
  }, timeoutMs);

  function finish(outcome: HandshakeResult<Buffer>): void {
    clearTimeout(timer);
    ws.off('message', onMessage);
    ws.off('close', onClose);
    onOutcome(outcome);
  }

  function onMessage(data: RawData): void {
    finish({ ok: true, value: data as Buffer });
  }

  function onClose(code: number, reason: Buffer): void {
    finish(refusalOfClose(code, reason.toString('utf8')));
  }

  ws.on('message', onMessage);
  ws.on('close', onClose);
}

/** Tells the peer why it is refused and cuts the connection. */
export function refuseHandshake(ws: WebSocket, code: RefusalCode): void {
  closeSocket(ws, REFUSED_CLOSE_CODE, code);
}
