/** Detection of close-delimited responses and of connection resets in them. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { BodyFraming } from './types.js';

interface ReadHandle {
  reading: boolean;
  readStop(): number;
  readStart(): number;
}

/** Returns what determines the end of the body. */
export function getBodyFraming({ headers }: IncomingMessage): BodyFraming {
  if (headers['transfer-encoding'] !== undefined) return BodyFraming.Chunked;
  return headers['content-length'] === undefined ? BodyFraming.Close : BodyFraming.Length;
}

/**
 * Pauses reading after each chunk of a close-delimited response, so that a reset isn't taken for its end. If a reset follows data
 * directly, libuv reports an orderly end without querying the kernel, unless reading was stopped while the data was handled; the
 * next read then reports the reset. Node has no public API for this. Must be called while the head of the response is handled.
 */
export function enableResetDetection(res: IncomingMessage): void {
  const { socket } = res;

  function pauseReading(): void {
    const handle = (socket as Socket & { _handle?: ReadHandle | null })._handle;
    if (!handle?.reading) return;
    // `reading` stays true; otherwise the stream would resume reading within the same event loop iteration.
    handle.readStop();
    setImmediate(() => {
      if (!socket.destroyed && handle.reading) handle.readStart();
    });
  }

  pauseReading();
  socket.on('data', pauseReading);
  res.once('close', () => socket.removeListener('data', pauseReading));
}
