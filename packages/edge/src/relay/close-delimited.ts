/** Detection of connection resets in close-delimited responses. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

interface ReadHandle {
  reading: boolean;
  readStop(): number;
  readStart(): number;
}

/** Returns whether the body ends only with its connection, without a length or chunked encoding. */
export function isCloseDelimited(res: IncomingMessage): boolean {
  return (
    res.headers['content-length'] === undefined && res.headers['transfer-encoding'] === undefined
  );
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
