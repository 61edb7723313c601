/** Buffered reading of a request body. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

/** Complete body with its SHA-256 digest, or the reason why there is none. */
export type ReadBodyResult =
  { ok: true; body: Buffer; digest: Buffer } | { ok: false; reason: 'too-large' | 'broken' };

/** Reads a body into memory and calls back once. The rest of an oversized body is read and discarded. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  done: (result: ReadBodyResult) => void,
): void {
  const chunks: Buffer[] = [];
  const hash = createHash('sha256');
  let receivedBytes = 0;
  let finished = false;

  function finish(result: ReadBodyResult): void {
    if (finished) return;
    finished = true;
    done(result);
  }

  req.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) finish({ ok: false, reason: 'too-large' });
    if (finished) return;
    chunks.push(chunk);
    hash.update(chunk);
  });
  req.on('end', () => finish({ ok: true, body: Buffer.concat(chunks), digest: hash.digest() }));
  req.on('error', () => finish({ ok: false, reason: 'broken' }));
  req.on('close', () => finish({ ok: false, reason: 'broken' }));
}
