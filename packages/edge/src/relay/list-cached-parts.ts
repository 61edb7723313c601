/** Asks an engine which prompt parts it keeps. */
import type { PromptPart } from '@kingcupsill/core/direct';
import { decodeCachedParts, CACHED_PARTS_PATH } from '@kingcupsill/prepared-platform';
import type { DecodeResult } from '@kingcupsill/prepared-platform';
import { sendHttpCall } from '../http-call.js';
import type { ServerConnections } from './server-connections.js';

/** An engine that takes longer is too busy to be asked. */
const TIMEOUT_MS = 1500;

/** Asks once; a failure is a message. */
export async function listCachedParts(
  { agent }: ServerConnections,
  host: string,
  port: number,
): Promise<DecodeResult<PromptPart[]>> {
  const call = { agent, host, port, method: 'GET', path: CACHED_PARTS_PATH, timeoutMs: TIMEOUT_MS };
  const answer = await sendHttpCall(call);
  if (!answer.ok) return { ok: false, message: answer.detail };
  if (answer.status !== 200) return { ok: false, message: `status ${answer.status}` };
  return decodeCachedParts(answer.body);
}
