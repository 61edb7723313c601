/** Reads a request's body into memory. */
import type { IncomingMessage } from 'node:http';

/** Outcome of reading a body. */
export type ReadBodyResult =
  { ok: true; body: Buffer } | { ok: false; reason: 'too-large' | 'broken' };

/** Calls back once with the whole body. The rest of one that is too large is read and dropped. */
export function readBody(
  req: IncomingMessage,
  mostBytes: number,
  done: (outcome: ReadBodyResult) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let over = false;

  function finish(outcome: ReadBodyResult): void {
    if (over) return;
    over = true;
    done(outcome);
  }

  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > mostBytes) finish({ ok: false, reason: 'too-large' });
    if (!over) chunks.push(chunk);
  });
  req.on('end', () => finish({ ok: true, body: Buffer.concat(chunks) }));
  req.on('error', () => finish({ ok: false, reason: 'broken' }));
  req.on('close', () => finish({ ok: false, reason: 'broken' }));
}
