/** Limits on the number of pieces in which a server sends the body of its response, and on the bytes around them. */
import type { IncomingMessage } from 'node:http';
import { coalescePieces } from './coalesce-pieces.js';
import { pauseReading } from '../pause-reading.js';
import type { CrowdedReads } from '../pause-reading.js';
import type { ReceivedAmount } from './types.js';

/** Size of a read behind which more may be waiting in the kernel. */
const FULL_READ_BYTES = 64 * 1024;
/** Bytes outside the body, such as the head, trailers and chunk sizes, that are never too many in a period. */
const MAX_FREE_FRAMING_BYTES = 24 * 1024;
/** A server may send small chunks, such as heartbeats, for as long as its response lasts. */
const FRAMING_PERIOD_MS = 1000;
/** Bytes of chunk sizes per byte of the body. Chunks of four bytes whose sizes have eight digits need fewer. */
const MAX_FRAMING_RATIO = 4;
/** Minimum size of a chunk's size and of the line breaks behind it and behind the chunk. */
const MIN_CHUNK_FRAMING_BYTES = 5;
/** Number of pieces in one read from which its connection shares the turns of the event loop with others of its kind. */
const CROWDED_PIECES = 512;
/** Mean size from which pieces are no smaller than ordinary ones. */
const ORDINARY_PIECE_BYTES = 16;
/** Maximum number of smaller pieces of one event, which sound servers send in a few. */
const MAX_EVENT_PIECES = 4096;
/** Maximum number of smaller pieces of one buffered body, in which each token may have its own. */
const MAX_BODY_PIECES = 256 * 1024;

/** Limit on one response. */
export interface PieceLimit {
  /** Passes on at once what has been received. */
  flush(): void;
  /** An event has been delivered; the pieces of the next one are counted from here. */
  startNextEvent(): void;
  received(): Required<Pick<ReceivedAmount, 'bodyBytes' | 'pieces'>>;
}

/** Options of a limit. */
export interface PieceLimitOptions {
  crowdedReads: CrowdedReads;
  /** The body is read as an event stream, of which each byte is work. Other bodies are buffered as they are. */
  isStream: boolean;
  /** Called once if the response exceeds a limit. */
  onExceeded: (detail: string) => void;
}

/**
 * Passes on the pieces of one read together, and reads once per turn of the event loop where a read is much work. Must be called
 * while the head of the response is handled, before its body is read.
 */
export function limitPieces(
  res: IncomingMessage,
  { crowdedReads, isStream, onExceeded }: PieceLimitOptions,
): PieceLimit {
  const { socket } = res;
  const maxPieces = isStream ? MAX_EVENT_PIECES : MAX_BODY_PIECES;
  /** Where the current period begins; at first behind the read in which the head ended. */
  let period = { atMs: performance.now(), bytesRead: socket.bytesRead, bodyBytes: 0, chunks: 0 };
  let bodyBytes = 0;
  let pieces = 0;
  /** Pieces that aren't the first of their read, which therefore are chunks. */
  let chunks = 0;
  /** Where the current event, or the buffered body, begins. */
  let start = { bodyBytes: 0, chunks: 0 };
  let chunksBeforeRead = 0;
  let isExceeded = false;
  const coalescing = coalescePieces(res);

  function exceed(detail: string): void {
    if (isExceeded) return;
    isExceeded = true;
    coalescing.flush();
    onExceeded(detail);
  }

  function checkFraming(framingBytes: number): void {
    const periodBytes = bodyBytes - period.bodyBytes;
    if (framingBytes > MAX_FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * periodBytes)
      exceed('framing out of proportion');
  }

  function startFramingPeriod(): void {
    period = { atMs: performance.now(), bytesRead: socket.bytesRead, bodyBytes, chunks };
  }

  function checkChunks(): void {
    // What waits for a slow caller may contain events.
    if (res.readableLength > 0) return;
    const smallChunks = chunks - start.chunks;
    const meanBytes = (bodyBytes - start.bodyBytes) / smallChunks;
    if (smallChunks > maxPieces && meanBytes < ORDINARY_PIECE_BYTES)
      exceed('too many small pieces');
  }

  function onRead(read: Buffer): void {
    if (chunks - chunksBeforeRead > CROWDED_PIECES) crowdedReads.defer(socket);
    else if (isStream && read.length >= FULL_READ_BYTES) pauseReading(socket);
    chunksBeforeRead = chunks;
    if (res.complete) return;
    const receivedBytes = socket.bytesRead - period.bytesRead;
    checkFraming(receivedBytes - (bodyBytes - period.bodyBytes));
    if (performance.now() - period.atMs >= FRAMING_PERIOD_MS) startFramingPeriod();
  }

  function onPiece(bytes: number, isFirst: boolean): void {
    pieces += 1;
    bodyBytes += bytes;
    if (isFirst) return;
    chunks += 1;
    // The rest of the read isn't known yet.
    checkFraming((chunks - period.chunks) * MIN_CHUNK_FRAMING_BYTES);
  }

  coalescing.listen({ onPiece, onFlushed: checkChunks });
  process.nextTick(startFramingPeriod);
  socket.on('data', onRead);
  res.once('close', () => socket.removeListener('data', onRead));
  return {
    flush: coalescing.flush,
    startNextEvent() {
      start = { bodyBytes, chunks };
    },
    received: () => ({ bodyBytes, pieces }),
  };
}
