/** Reading of HTTP request bodies. */
import type { IncomingMessage } from 'node:http';

/** Body of a request, or the code of the error that prevented reading it. */
export type BodyOutcome =
  { ok: true; body: Buffer } | { ok: false; code: 'body_too_large' | 'body_aborted' };

/** Reads the whole body into memory. Fails with `body_too_large` above `maxBytes`, and with `body_aborted` if the connection breaks. */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for await (const chunk of req) {
      receivedBytes += (chunk as Buffer).length;
      if (receivedBytes > maxBytes) return { ok: false, code: 'body_too_large' };
      chunks.push(chunk as Buffer);
    }
  } catch {
    return { ok: false, code: 'body_aborted' };
  }
  return { ok: true, body: Buffer.concat(chunks) };
}
