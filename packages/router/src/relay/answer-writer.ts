/** Writes answers to callers, held back while a failure can still be retried unseen. */
import { once } from 'node:events';

import { AttemptHeader, filterForwardedHeaders } from '@kingcupsill/core';
import type { Dispatcher } from 'undici';

import type { AnswerHead, HeldRequest } from '../callers/types.js';

/** Answers up to this size are held back until whole. */
const HOLD_BACK_BYTES = 256 * 1024;

/** Answers up to this size are recorded for the repeats of a request with an idempotency key. */
export const RECORDED_BYTES = 256 * 1024;

/** Which attempt an answer comes from. */
export interface AnswerSource {
  attempt: string;
  backend: string;
}

/** Forgets what an earlier attempt has left. */
export function resetAnswer(held: HeldRequest): void {
  held.head = null;
  held.heldBack = [];
  held.receivedBytes = 0;
  held.recording = held.keyed ? [] : null;
}

/** Head for the caller of a sidecar's answer. */
export function answerHead(res: Dispatcher.ResponseData, source: AnswerSource): AnswerHead {
  return {
    status: Number(res.headers[AttemptHeader.Status]),
    headers: {
      ...filterForwardedHeaders(res.headers),
      'x-kingcupsill-attempt': source.attempt,
      'x-kingcupsill-backend': source.backend,
    },
  };
}

/** Takes the head of a sidecar's answer; an event stream's goes to the caller at once. */
export function takeHead(
  held: HeldRequest,
  res: Dispatcher.ResponseData,
  source: AnswerSource,
): void {
  held.backend = source.backend;
  held.head = answerHead(res, source);
  const contentType = String(res.headers['content-type'] ?? '');
  if (contentType.startsWith('text/event-stream')) relayHead(held);
}

/** Takes one chunk of the answer and waits while the caller reads slowly. */
export async function relayChunk(held: HeldRequest, chunk: Buffer): Promise<void> {
  held.receivedBytes += chunk.length;
  if (held.receivedBytes > RECORDED_BYTES) held.recording = null;
  held.recording?.push(chunk);
  if (held.headRelayed) {
    await write(held, chunk);
    return;
  }
  held.heldBack.push(chunk);
  if (held.receivedBytes > HOLD_BACK_BYTES) await releaseHeldBack(held);
}

/** Sends what is held back and ends the answer. */
export async function finishAnswer(held: HeldRequest): Promise<void> {
  await releaseHeldBack(held);
  held.res.end();
}

function relayHead(held: HeldRequest): void {
  if (held.headRelayed || !held.head) return;
  held.headRelayed = true;
  if (held.res.destroyed) return;
  held.res.writeHead(held.head.status, held.head.headers);
  held.res.flushHeaders();
}

async function releaseHeldBack(held: HeldRequest): Promise<void> {
  relayHead(held);
  const chunks = held.heldBack;
  held.heldBack = [];
  for (const chunk of chunks) await write(held, chunk);
}

/** A caller that has gone is noticed by its connection's own event. */
async function write({ res }: HeldRequest, chunk: Buffer): Promise<void> {
  if (res.destroyed || res.write(chunk)) return;
  const controller = new AbortController();
  const { signal } = controller;
  await Promise.race([once(res, 'drain', { signal }), once(res, 'close', { signal })]);
  controller.abort();
}
