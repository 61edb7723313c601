/** Reads the `Idempotency-Key` header and computes what the claim of a key is found and compared by. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

import type { IdempotencyKeyInfo } from '@kingcupsill/core';
import { claimKey } from '@kingcupsill/core';

import type { PendingRequest } from './types.js';

/** Longest key, in characters. */
const MAX_KEY_LENGTH = 255;

/** Outcome of reading the header; the key is null when there is none. */
export type KeyOutcome =
  { ok: true; key: string | null } | { ok: false; code: 'invalid_idempotency_key' };

/** Reads the key of a request. */
export function readIdempotencyKey(headers: IncomingHttpHeaders): KeyOutcome {
  const key = headers['idempotency-key'];
  if (key === undefined) return { ok: true, key: null };
  if (typeof key !== 'string' || key.length === 0 || key.length > MAX_KEY_LENGTH) {
    return { ok: false, code: 'invalid_idempotency_key' };
  }
  return { ok: true, key };
}

/** What the reducer is told of a request's key. */
export function createKeyInfo(
  held: PendingRequest,
  key: string,
  arrivedWallMs: number,
): IdempotencyKeyInfo {
  const { account, service, method, path, body } = held;
  return {
    key: claimKey(digestOf([account, key])),
    bodyDigest: digestOf([service, method, path, body]),
    arrivedWallMs,
  };
}

/** SHA-256 over parts, each behind its length, so that no two lists of parts give the same bytes. */
function digestOf(parts: (string | Buffer)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    const bytes = Buffer.from(part as string);
    hash.update(`${bytes.length}:`).update(bytes);
  });
  return hash.digest('hex');
}
