/** Answers as claims of idempotency keys record them. */
import type { RecordedResponse } from '@kingcupsill/core';
import { AttemptHeader } from '@kingcupsill/core';
import type { Dispatcher } from 'undici';

import type { AnswerHead, HeldRequest } from '../callers/types.js';
import { RECORDED_BYTES, answerHead } from './answer-writer.js';
import type { AnswerSource } from './answer-writer.js';

/** Tells callers that an answer is the recorded one of an earlier request with the same key. */
const REPLAYED_HEADER = 'idempotent-replayed';

/** The answer that was relayed, unless it is too large to record. */
export function recordedAnswer({ head, recording }: HeldRequest): RecordedResponse | undefined {
  return head && recording ? encode(head, recording) : undefined;
}

/** Reads the whole answer that a sidecar keeps; undefined when it broke off or is too large to record. */
export async function readKeptAnswer(
  res: Dispatcher.ResponseData,
  source: AnswerSource,
): Promise<RecordedResponse | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of res.body) {
      length += (chunk as Buffer).length;
      if (length > RECORDED_BYTES) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  const trailers = res.trailers as Record<string, string | undefined>;
  if (trailers[AttemptHeader.Complete] !== '1') return undefined;
  return encode(answerHead(res, source), chunks);
}

/** Gives the caller a recorded answer. */
export function sendRecorded({ res }: HeldRequest, answer: RecordedResponse): void {
  if (res.destroyed) return;
  const body = Buffer.from(answer.bodyBase64, 'base64');
  answer.headers.forEach(([name, value]) => res.appendHeader(name, value));
  res.setHeader(REPLAYED_HEADER, 'true');
  res.writeHead(answer.status);
  res.end(body);
}

function encode({ status, headers }: AnswerHead, chunks: Buffer[]): RecordedResponse {
  return {
    status,
    headers: Object.entries(headers).flatMap(([name, value]) =>
      [value ?? []].flat().map((one): [string, string] => [name, one]),
    ),
    bodyBase64: Buffer.concat(chunks).toString('base64'),
  };
}
