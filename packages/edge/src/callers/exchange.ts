/** One caller's request and the answer to it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal, RequestAttributes } from '@kingcupsill/core/direct';
import { retryAfterText } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import type { AnswerTarget, HeldAnswer } from '../relay/types.js';

/** A request in hand. */
export interface Exchange {
  id: string;
  req: IncomingMessage;
  res: ServerResponse;
  headers: CallerHeaders;
  facts: RequestAttributes;
  body: Buffer;
  /** Steady time at which the request was whole. */
  arrivedAtMs: number;
  begun: boolean;
  target: AnswerTarget;
  /** Whole answer of the last attempt, until the reducer decides on it. */
  held: HeldAnswer | undefined;
}

/** Statuses whose answers have no body. */
const BODILESS = new Set([204, 304]);

/** Writes a failure of the router's own; the caller's copy says whether the request ran. */
export function writeRefusal(res: ServerResponse, refusal: Refusal): void {
  const { status, code, ran, retryAfterMs } = refusal;
  if (res.headersSent) {
    // Part of an answer has gone: only a broken connection shows that it isn't whole.
    res.destroy();
    return;
  }
  const body = JSON.stringify({ code, ran });
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
  if (retryAfterMs !== undefined) headers.push('Retry-After', retryAfterText(retryAfterMs));
  res.writeHead(status, headers);
  res.end(body);
}

/** Gives a held answer to the caller, or ends its stream. */
export function writeAnswer(res: ServerResponse, held: HeldAnswer | undefined): void {
  if (held !== undefined && !res.headersSent) {
    const length = BODILESS.has(held.status) ? [] : ['Content-Length', String(held.body.length)];
    res.writeHead(held.status, [...held.headers, ...length]);
    res.end(held.body);
    return;
  }
  res.end();
}

/** The caller's side of an attempt that streams. */
export function createAnswerTarget(res: ServerResponse): AnswerTarget {
  return {
    started: () => res.headersSent,
    start(status, headers) {
      res.writeHead(status, headers);
    },
    write(bytes, resume) {
      if (bytes.length === 0 || res.write(bytes)) return true;
      res.once('drain', resume);
      return false;
    },
  };
}
