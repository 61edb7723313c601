/** Responses recorded in claims of idempotency keys. */
import type { RecordedResponse } from '@kingcupsill/core';
import { AttemptHeader } from '@kingcupsill/core';
import type { Dispatcher } from 'undici';

import type { PendingRequest, ResponseHead } from '../callers/types.js';
import { MAX_RECORDED_BYTES, createResponseHead } from './response-writer.js';
import type { ResponseSource } from './response-writer.js';

/** Response header set if the response was recorded for an earlier request with the same key. */
const REPLAYED_HEADER = 'idempotent-replayed';

/** Returns the relayed response in recorded form, or undefined if it is too large. */
export function recordResponse({
  head,
  recordedChunks,
}: PendingRequest): RecordedResponse | undefined {
  return head && recordedChunks ? toRecordedResponse(head, recordedChunks) : undefined;
}

/** Reads the response that a sidecar keeps. Resolves with undefined if it is incomplete or too large to record. */
export async function readKeptResponse(
  res: Dispatcher.ResponseData,
  source: ResponseSource,
): Promise<RecordedResponse | undefined> {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for await (const chunk of res.body) {
      receivedBytes += (chunk as Buffer).length;
      if (receivedBytes > MAX_RECORDED_BYTES) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  const trailers = res.trailers as Record<string, string | undefined>;
  if (trailers[AttemptHeader.Complete] !== '1') return undefined;
  return toRecordedResponse(createResponseHead(res, source), chunks);
}

/** Sends a recorded response to the caller. */
export function replayResponse({ res }: PendingRequest, answer: RecordedResponse): void {
  if (res.destroyed) return;
  const body = Buffer.from(answer.bodyBase64, 'base64');
  answer.headers.forEach(([name, value]) => res.appendHeader(name, value));
  res.setHeader(REPLAYED_HEADER, 'true');
  res.writeHead(answer.status);
  res.end(body);
}

function toRecordedResponse({ status, headers }: ResponseHead, chunks: Buffer[]): RecordedResponse {
  return {
    status,
    headers: Object.entries(headers).flatMap(([name, value]) =>
      [value ?? []].flat().map((item): [string, string] => [name, item]),
    ),
    bodyBase64: Buffer.concat(chunks).toString('base64'),
  };
}
