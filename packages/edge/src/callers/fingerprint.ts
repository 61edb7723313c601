/** Digest by which routers recognize repetitions of a request. */
import { createHash } from 'node:crypto';

/** What makes two requests the same. */
export interface FingerprintInput {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  account: string | undefined;
  bodyDigest: Buffer;
}

/** Length of a fingerprint: 96 bits, so that no caller can produce the fingerprint of another caller's request. */
const FINGERPRINT_CHARS = 16;

/** Returns the first 96 bits of a SHA-256 digest, in base64url. */
export function fingerprintRequest(input: FingerprintInput): string {
  const { method, host, target, account, bodyDigest } = input;
  return createHash('sha256')
    .update(JSON.stringify([method, host, target, account ?? null]))
    .update(bodyDigest)
    .digest('base64url')
    .slice(0, FINGERPRINT_CHARS);
}
