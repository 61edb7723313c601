/** Streams request bodies back to the caller. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Transform } from 'node:stream';
import { pipeline } from 'node:stream/promises';

/** Streams the request body back and resolves to its SHA-256 digest in hex. Rejects if either side closes early or a fault cuts the response. */
export const echoBody = async (
  req: IncomingMessage,
  res: ServerResponse,
  cutAfterBytes: number | undefined,
): Promise<string> => {
  const hash = createHash('sha256');
  let sent = 0;
  const hashingStream = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      hash.update(chunk);
      sent += chunk.length;
      const isCut = cutAfterBytes !== undefined && sent > cutAfterBytes;
      done(isCut ? new Error('cut by fault') : null, chunk);
    },
  });
  await pipeline(req, hashingStream, res);
  return hash.digest('hex');
};
