/** Reading from connections in later turns of the event loop. */
import type { Socket } from 'node:net';

interface ReadHandle {
  reading: boolean;
  readStop(): number;
  readStart(): number;
}

/** Node has no public API to stop reading for a turn; `pause` would interfere with the parser's. */
function getReadHandle(socket: Socket): ReadHandle | undefined {
  const handle = (socket as Socket & { _handle?: ReadHandle | null })._handle;
  return handle?.reading === true && !socket.destroyed ? handle : undefined;
}

/** Stops reading until `resumeReading` is called. `reading` stays true; otherwise the stream would resume reading within the same event loop iteration. */
export function stopReading(socket: Socket): void {
  getReadHandle(socket)?.readStop();
}

export function resumeReading(socket: Socket): void {
  getReadHandle(socket)?.readStart();
}

/** Stops reading until the next turn of the event loop. */
export function pauseReading(socket: Socket): void {
  stopReading(socket);
  setImmediate(() => resumeReading(socket));
}

/** Connections of which each read is much work. They share the event loop's turns: each turn reads from one of them. */
export interface CrowdedReads {
  /** Stops reading from a connection until its turn. */
  defer(socket: Socket): void;
}

/** Creates an empty queue. */
export function createCrowdedReads(): CrowdedReads {
  const waiting = new Set<Socket>();

  function resumeNext(): void {
    const [next] = waiting;
    if (next === undefined) return;
    waiting.delete(next);
    resumeReading(next);
    if (waiting.size > 0) setImmediate(resumeNext);
  }

  return {
    defer(socket) {
      stopReading(socket);
      waiting.add(socket);
      if (waiting.size === 1) setImmediate(resumeNext);
    },
  };
}
