/** Reads request bodies. */
import type { IncomingMessage } from 'node:http';

/** The whole body, or null when it is longer than `maxBytes` or breaks off. */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer | null> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of req) {
      length += (chunk as Buffer).length;
      if (length > maxBytes) return null;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return null;
  }
  return Buffer.concat(chunks);
}
