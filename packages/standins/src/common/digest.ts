/** Digests. */
import { createHash } from 'node:crypto';

/** Lower-case hex SHA-256 digest. */
export const sha256 = (data: string | Uint8Array): string =>
  createHash('sha256').update(data).digest('hex');
