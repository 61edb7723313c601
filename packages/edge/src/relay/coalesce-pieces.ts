/** Coalescing of the pieces that one read of a response's body contains. */
import type { IncomingMessage } from 'node:http';

/** Callbacks of the coalescing. */
export interface PieceListener {
  /** A piece was found. `isFirst` if it is the first one of its read. */
  onPiece(bytes: number, isFirst: boolean): void;
  /** Collected pieces have been passed on. */
  onFlushed(): void;
}

/** Coalescing of one response. */
export interface Coalescing {
  listen(listener: PieceListener): void;
  /** Passes on at once what has been collected. */
  flush(): void;
}

/**
 * Passes on the pieces of each read as one, since a read can contain thousands. Must be called while the head of the response is
 * handled.
 */
export function coalescePieces(res: IncomingMessage): Coalescing {
  let listener: PieceListener | undefined;
  const push = res.push.bind(res);
  let collected: Buffer[] = [];
  let collectedBytes = 0;
  let isFlushScheduled = false;

  function flush(): void {
    if (collectedBytes === 0) return;
    const bytes = collected.length === 1 ? collected[0] : Buffer.concat(collected, collectedBytes);
    collected = [];
    collectedBytes = 0;
    push(bytes);
    listener?.onFlushed();
  }

  // The method to which Node's parser passes each piece, and `null` at the end.
  res.push = (piece: Buffer | null): boolean => {
    if (piece === null) {
      flush();
      return push(null);
    }
    collected.push(piece);
    collectedBytes += piece.length;
    listener?.onPiece(piece.length, !isFlushScheduled);
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      // After the parser has gone through the read.
      process.nextTick(() => {
        isFlushScheduled = false;
        flush();
      });
    }
    const isRead = res.readableFlowing === true;
    return isRead || res.readableLength + collectedBytes < res.readableHighWaterMark;
  };
  return {
    listen(pieceListener) {
      listener = pieceListener;
    },
    flush,
  };
}
