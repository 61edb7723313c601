/** SHA-256 digests. */
import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest in lowercase hex. */
export const sha256 = (data: string | Uint8Array): string =>
  createHash('sha256').update(data).digest('hex');
