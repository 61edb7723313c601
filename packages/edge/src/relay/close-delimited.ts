/** Tells a reset from an orderly end of an answer that only the end of its connection ends. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

interface ReadHandle {
  reading: boolean;
  readStop(): number;
  readStart(): number;
}

/** Whether only the end of the connection ends this answer. */
export function isCloseDelimited(res: IncomingMessage): boolean {
  return (
    res.headers['content-length'] === undefined && res.headers['transfer-encoding'] === undefined
  );
}

/**
 * Reads such an answer in steps. When a reset comes right behind data, the event loop's library reports an orderly end without
 * asking the kernel, unless reading is stopped while the data is handled; asked again, the kernel reports the reset. Node has no
 * public call for that. Call it while the head of the answer is handled.
 */
export function enableResetDetection(res: IncomingMessage): void {
  const { socket } = res;

  function step(): void {
    const handle = (socket as Socket & { _handle?: ReadHandle | null })._handle;
    if (!handle?.reading) return;
    // `reading` stays true, or the stream would start reading again within this very turn.
    handle.readStop();
    setImmediate(() => {
      if (!socket.destroyed && handle.reading) handle.readStart();
    });
  }

  step();
  socket.on('data', step);
  res.once('close', () => socket.removeListener('data', step));
}
