/** Buffered reading of a request body. */
import type { IncomingMessage } from 'node:http';

/** Complete body, or the reason why there is none. */
export type ReadBodyResult =
  { ok: true; body: Buffer } | { ok: false; reason: 'too-large' | 'broken' };

/** Reads a body into memory and calls back once. The rest of an oversized body is read and discarded. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  done: (result: ReadBodyResult) => void,
): void {
  const chunks: Buffer[] = [];
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
    if (!finished) chunks.push(chunk);
  });
  req.on('end', () => finish({ ok: true, body: Buffer.concat(chunks) }));
  req.on('error', () => finish({ ok: false, reason: 'broken' }));
  req.on('close', () => finish({ ok: false, reason: 'broken' }));
}
