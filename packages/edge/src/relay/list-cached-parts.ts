/** Listing of the prompt parts in an engine's cache. */
import type { PromptPart } from '@kingcupsill/core/direct';
import { CACHED_PARTS_PATH, decodeCachedParts } from '@kingcupsill/prepared-platform';
import type { DecodeResult } from '@kingcupsill/prepared-platform';
import { sendHttpCall } from '../http-call.js';
import type { ServerConnections } from './server-connections.js';

/** An engine that takes longer is too busy to be queried. */
const TIMEOUT_MS = 1500;

/** Queries the engine once, without retries. */
export async function listCachedParts(
  { agent }: ServerConnections,
  host: string,
  port: number,
): Promise<DecodeResult<PromptPart[]>> {
  const call = { agent, host, port, method: 'GET', path: CACHED_PARTS_PATH, timeoutMs: TIMEOUT_MS };
  const response = await sendHttpCall(call);
  if (!response.ok) return { ok: false, message: response.detail };
  if (response.status !== 200) return { ok: false, message: `status ${response.status}` };
  return decodeCachedParts(response.body);
}
