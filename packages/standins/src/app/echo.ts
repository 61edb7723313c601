/** Streaming echo of request bodies. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Transform } from 'node:stream';
import { pipeline } from 'node:stream/promises';

/** Sends a request's body back as it comes, and resolves to its SHA-256 in hex. Rejects when either side closes early. */
export const echoBody = async (
  req: IncomingMessage,
  res: ServerResponse,
  cutAfterBytes: number | undefined,
): Promise<string> => {
  const hash = createHash('sha256');
  let sent = 0;
  const tap = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      hash.update(chunk);
      sent += chunk.length;
      const isCut = cutAfterBytes !== undefined && sent > cutAfterBytes;
      done(isCut ? new Error('cut by fault') : null, chunk);
    },
  });
  await pipeline(req, tap, res);
  return hash.digest('hex');
};
