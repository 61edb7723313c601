/** Parsing of the `Idempotency-Key` header, and digests by which claims are looked up and compared. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

import type { IdempotencyKeyInfo } from '@kingcupsill/core';
import { claimKey } from '@kingcupsill/core';

import type { PendingRequest } from './types.js';

/** Maximum length of a key, in UTF-16 code units. */
const MAX_KEY_LENGTH = 255;

/** Key of a request, null if the header is absent, or the code of the error. */
export type KeyOutcome =
  { ok: true; key: string | null } | { ok: false; code: 'invalid_idempotency_key' };

/** Reads and validates the key of a request. */
export function readIdempotencyKey(headers: IncomingHttpHeaders): KeyOutcome {
  const key = headers['idempotency-key'];
  if (key === undefined) return { ok: true, key: null };
  if (typeof key !== 'string' || key.length === 0 || key.length > MAX_KEY_LENGTH) {
    return { ok: false, code: 'invalid_idempotency_key' };
  }
  return { ok: true, key };
}

/** Creates the reducer's description of a request's key. */
export function createKeyInfo(
  request: PendingRequest,
  key: string,
  arrivedWallMs: number,
): IdempotencyKeyInfo {
  const { account, service, method, path, body } = request;
  return {
    key: claimKey(digestParts([account, key])),
    bodyDigest: digestParts([service, method, path, body]),
    arrivedWallMs,
  };
}

/** Returns the SHA-256 digest of the parts. Each part is prefixed by its length, so that different lists never give the same input. */
function digestParts(parts: (string | Buffer)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    const bytes = Buffer.from(part as string);
    hash.update(`${bytes.length}:`).update(bytes);
  });
  return hash.digest('hex');
}
