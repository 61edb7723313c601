/** Writing of responses to callers. A response is buffered first, so that a failed attempt can be retried without the caller noticing. */
import { once } from 'node:events';

import { AttemptHeader, filterForwardedHeaders } from '@kingcupsill/core';
import type { Dispatcher } from 'undici';

import type { PendingRequest, ResponseHead } from '../callers/types.js';

/** Maximum size of a response that is buffered until complete, in bytes. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Maximum size of a response body that is recorded with an idempotency key, in bytes. */
export const MAX_RECORDED_BYTES = 256 * 1024;

/** Attempt and backend server that produced a response. */
export interface ResponseSource {
  attempt: string;
  backend: string;
}

/** Discards the response state of an earlier attempt. */
export function resetResponse(pending: PendingRequest): void {
  pending.head = null;
  pending.bufferedChunks = [];
  pending.receivedBytes = 0;
  pending.recordedChunks = pending.hasIdempotencyKey ? [] : null;
}

/** Creates the head sent to the caller from a sidecar's response. */
export function createResponseHead(
  res: Dispatcher.ResponseData,
  source: ResponseSource,
): ResponseHead {
  return {
    status: Number(res.headers[AttemptHeader.Status]),
    headers: {
      ...filterForwardedHeaders(res.headers),
      'x-kingcupsill-attempt': source.attempt,
      'x-kingcupsill-backend': source.backend,
    },
  };
}

/** Stores the head of a sidecar's response. The head of an event stream is sent to the caller immediately. */
export function receiveHead(
  pending: PendingRequest,
  res: Dispatcher.ResponseData,
  source: ResponseSource,
): void {
  pending.backend = source.backend;
  pending.head = createResponseHead(res, source);
  const contentType = String(res.headers['content-type'] ?? '');
  if (contentType.startsWith('text/event-stream')) sendHead(pending);
}

/** Buffers or sends a chunk of the response body. Waits while the caller's connection is congested. */
export async function relayChunk(pending: PendingRequest, chunk: Buffer): Promise<void> {
  pending.receivedBytes += chunk.length;
  if (pending.receivedBytes > MAX_RECORDED_BYTES) pending.recordedChunks = null;
  pending.recordedChunks?.push(chunk);
  if (pending.headRelayed) {
    await writeChunk(pending, chunk);
    return;
  }
  pending.bufferedChunks.push(chunk);
  if (pending.receivedBytes > MAX_BUFFERED_BYTES) await flushBufferedChunks(pending);
}

/** Sends the buffered chunks and ends the response. */
export async function finishResponse(pending: PendingRequest): Promise<void> {
  await flushBufferedChunks(pending);
  pending.res.end();
}

function sendHead(pending: PendingRequest): void {
  if (pending.headRelayed || !pending.head) return;
  pending.headRelayed = true;
  if (pending.res.destroyed) return;
  pending.res.writeHead(pending.head.status, pending.head.headers);
  pending.res.flushHeaders();
}

async function flushBufferedChunks(pending: PendingRequest): Promise<void> {
  sendHead(pending);
  const chunks = pending.bufferedChunks;
  pending.bufferedChunks = [];
  for (const chunk of chunks) await writeChunk(pending, chunk);
}

/** Writes a chunk. A closed connection is not an error here, as its `close` event is handled elsewhere. */
async function writeChunk({ res }: PendingRequest, chunk: Buffer): Promise<void> {
  if (res.destroyed || res.write(chunk)) return;
  const controller = new AbortController();
  const { signal } = controller;
  await Promise.race([once(res, 'drain', { signal }), once(res, 'close', { signal })]);
  controller.abort();
}
