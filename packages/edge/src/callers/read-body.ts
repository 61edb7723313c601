/** Buffered reading of a request body. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { createByteCollector } from '@kingcupsill/core/bytes';
import { hasTooManyPieces } from '../piece-limit.js';
import type { BodyReservation } from './body-budget.js';

/** Complete body with its SHA-256 digest, or the reason why there is none. */
export type ReadBodyResult =
  | { ok: true; body: Buffer; digest: Buffer }
  | { ok: false; reason: 'too-large' | 'no-memory' | 'too-many-pieces' | 'broken' };

/** Limits of a body. */
export interface BodyLimits {
  maxBytes: number;
  reservation: BodyReservation;
}

interface BodyCollector {
  add(chunk: Buffer): void;
  collect(): Buffer;
}

/** Collects a body of a known length in one buffer, so that no copies of it wait for the garbage collector. */
function createFixedCollector(lengthBytes: number): BodyCollector {
  const body = Buffer.allocUnsafe(lengthBytes);
  let filledBytes = 0;
  return {
    add(chunk) {
      filledBytes += chunk.copy(body, filledBytes);
    },
    collect: () => body,
  };
}

/** Returns a function that closes the connection of a request behind what has been written to it. */
function createCloseOnce({ socket }: IncomingMessage): () => void {
  let isClosing = false;
  return () => {
    if (isClosing) return;
    isClosing = true;
    socket.destroySoon();
  };
}

function createChunkCollector(): BodyCollector {
  const { add, chunks } = createByteCollector();
  return { add, collect: () => Buffer.concat(chunks()) };
}

/**
 * Reads a body into reserved memory and calls back once: at once if its stated length is too large or can't be reserved. The rest of
 * a body that isn't kept is read and discarded, unless it comes in too many pieces: its connection is closed behind the answer.
 */
export function readBody(
  req: IncomingMessage,
  { maxBytes, reservation }: BodyLimits,
  done: (result: ReadBodyResult) => void,
): void {
  const closeOnce = createCloseOnce(req);
  const hash = createHash('sha256');
  const lengthHeader = req.headers['content-length'];
  let collector: BodyCollector | undefined;
  let receivedBytes = 0;
  let pieces = 0;
  let finished = false;

  function finish(result: ReadBodyResult): void {
    if (finished) return;
    finished = true;
    collector = undefined;
    done(result);
  }

  /** Returns whether the body may have this size. */
  function reserve(bytes: number): boolean {
    if (bytes > maxBytes) finish({ ok: false, reason: 'too-large' });
    else if (!reservation.growTo(bytes)) finish({ ok: false, reason: 'no-memory' });
    return !finished;
  }

  req.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    pieces += 1;
    if (hasTooManyPieces(pieces, receivedBytes)) {
      finish({ ok: false, reason: 'too-many-pieces' });
      closeOnce();
    }
    if (finished || !reserve(receivedBytes)) return;
    collector?.add(chunk);
    hash.update(chunk);
  });
  req.on('end', () => {
    const body = collector?.collect();
    if (body !== undefined) finish({ ok: true, body, digest: hash.digest() });
  });
  req.on('error', () => finish({ ok: false, reason: 'broken' }));
  req.on('close', () => finish({ ok: false, reason: 'broken' }));
  if (lengthHeader === undefined) collector = createChunkCollector();
  else if (reserve(Number(lengthHeader))) collector = createFixedCollector(Number(lengthHeader));
}

/** Reads and discards a body. Calls back once, at its end or as soon as it is too large or comes in too many pieces. */
export function discardBody(req: IncomingMessage, maxBytes: number, done: () => void): void {
  const closeOnce = createCloseOnce(req);
  let receivedBytes = 0;
  let pieces = 0;
  let finished = false;

  function finish(): void {
    if (finished) return;
    finished = true;
    done();
  }

  req.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    pieces += 1;
    if (receivedBytes > maxBytes) finish();
    if (!hasTooManyPieces(pieces, receivedBytes)) return;
    finish();
    closeOnce();
  });
  req.on('end', finish);
  req.on('error', finish);
  req.on('close', finish);
}
