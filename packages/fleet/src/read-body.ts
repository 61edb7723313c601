/** Reads the bodies of HTTP requests. */
import type { IncomingMessage } from 'node:http';

/** Outcome of reading a body. */
export type BodyOutcome =
  { ok: true; body: Buffer } | { ok: false; code: 'body_too_large' | 'body_aborted' };

/** Reads the whole body of at most `maxBytes`. */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of req) {
      length += (chunk as Buffer).length;
      if (length > maxBytes) return { ok: false, code: 'body_too_large' };
      chunks.push(chunk as Buffer);
    }
  } catch {
    return { ok: false, code: 'body_aborted' };
  }
  return { ok: true, body: Buffer.concat(chunks) };
}
