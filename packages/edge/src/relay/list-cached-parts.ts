/** Listing of the prompt parts in an engine's cache. */
import type { PromptPart, ServerAnnouncement } from '@kingcupsill/core/direct';
import {
  CACHED_PARTS_PATH,
  decodeCachedParts,
  parseAnnouncement,
  parseResponseHeaders,
} from '@kingcupsill/prepared-platform';
import type { DecodeResult } from '@kingcupsill/prepared-platform';
import { sendHttpCall } from '../http-call.js';
import type { ServerConnections } from './server-connections.js';

/** An engine that takes longer is too busy to be queried. */
const TIMEOUT_MS = 1500;
const MAX_RESPONSE_BYTES = 2 * 1024 * 1024;

/** Cached parts of an engine, and what it states about itself. */
export type CachedPartsResult = DecodeResult<PromptPart[]> & {
  announcement?: ServerAnnouncement | undefined;
};

/** Queries the engine once, without retries. */
export async function listCachedParts(
  { agent }: ServerConnections,
  host: string,
  port: number,
): Promise<CachedPartsResult> {
  const response = await sendHttpCall({
    agent,
    host,
    port,
    method: 'GET',
    path: CACHED_PARTS_PATH,
    timeoutMs: TIMEOUT_MS,
    maxBytes: MAX_RESPONSE_BYTES,
  });
  if (!response.ok) return { ok: false, message: response.detail };
  // A response to an earlier request, which has come once more.
  if (parseResponseHeaders(response.headers).attemptId !== undefined)
    return { ok: false, message: 'names another request' };
  const announcement = parseAnnouncement(response.status, response.headers);
  if (response.status !== 200)
    return { ok: false, message: `status ${response.status}`, announcement };
  return { ...decodeCachedParts(response.body.toString('utf8')), announcement };
}
