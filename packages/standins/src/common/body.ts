/** Buffered request bodies. */
import type { IncomingMessage } from 'node:http';

export type BodyOutcome = { ok: true; body: Buffer } | { ok: false; code: 'too-large' | 'aborted' };

/** Reads a request body of at most `limitBytes` bytes. A larger body is read to its end and discarded. */
export const readBody = async (req: IncomingMessage, limitBytes: number): Promise<BodyOutcome> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size <= limitBytes) chunks.push(chunk);
    }
  } catch {
    return { ok: false, code: 'aborted' };
  }
  return size > limitBytes
    ? { ok: false, code: 'too-large' }
    : { ok: true, body: Buffer.concat(chunks) };
};
