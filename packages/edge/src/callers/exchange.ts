/** Caller's request and the response to it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Refusal, RequestAttributes } from '@kingcupsill/core/direct';
import type { StreamJoin } from '@kingcupsill/core/event-stream';
import { formatRetryAfter } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import { callAfter } from '@kingcupsill/runtime';
import type { BufferedResponse, ResponseSink } from '../relay/types.js';

/** Request in progress and its response. */
export interface Exchange {
  id: string;
  req: IncomingMessage;
  res: ServerResponse;
  headers: CallerHeaders;
  attributes: RequestAttributes;
  body: Buffer;
  /** Monotonic time at which the request had been received completely. */
  receivedAtMs: number;
  responseStarted: boolean;
  sink: ResponseSink;
  /** Runs of a streamed response. */
  streamJoin: StreamJoin;
  /** Connections to servers on which the request has been sent. */
  usedSockets: Set<Socket>;
  /** Complete response of the last attempt, until the reducer finishes or retries the request. */
  bufferedResponse: BufferedResponse | undefined;
}

/** Statuses of responses without a body. */
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/**
 * Writes a response whose connection closes only after the request's body has been received: a connection that is closed with unread
 * bytes is reset, and the caller may lose the response.
 */
function endAfterBody(res: ServerResponse, body: string): void {
  const { req } = res;
  if (req.complete || res.shouldKeepAlive) {
    res.end(body);
    return;
  }
  res.write(body);
  req.once('end', () => res.end());
  req.resume();
}

/** Writes a refusal by the router. Its body states whether the request ran. */
export function writeRefusal(res: ServerResponse, refusal: Refusal): void {
  const { status, code, ran, retryAfterMs } = refusal;
  if (res.headersSent) {
    // Part of a response has been sent, and only a broken connection marks it as incomplete.
    res.destroy();
    return;
  }
  const body = JSON.stringify({ code, ran });
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
  if (retryAfterMs !== undefined) headers.push('Retry-After', formatRetryAfter(retryAfterMs));
  res.writeHead(status, headers);
  endAfterBody(res, body);
}

/** Writes a buffered response, or ends a streamed one. */
export function writeResponse(res: ServerResponse, response: BufferedResponse | undefined): void {
  if (response !== undefined && !res.headersSent) {
    const lengthHeader = STATUSES_WITHOUT_BODY.has(response.status)
      ? []
      : ['Content-Length', String(response.bodyBytes)];
    res.writeHead(response.status, [...response.headers, ...lengthHeader]);
    response.chunks.slice(0, -1).forEach((chunk) => res.write(chunk));
    res.end(response.chunks.at(-1));
    return;
  }
  res.end();
}

/**
 * Calls `onUnread` and closes the connection if the caller hasn't read the response in `maxMs`. Time in which this process couldn't
 * send the rest of it doesn't count, once.
 */
export function limitReadTime(res: ServerResponse, maxMs: number, onUnread: () => void): void {
  function closeUnread(): void {
    onUnread();
    res.destroy();
  }
  let timer = callAfter(maxMs, (lateMs) => {
    if (lateMs > 0) timer = callAfter(Math.min(lateMs, maxMs), closeUnread);
    else closeUnread();
  });
  res.once('close', () => timer.close());
}

/** Creates the sink through which a streaming attempt writes to the caller. */
export function createResponseSink(res: ServerResponse): ResponseSink {
  return {
    isHeadSent: () => res.headersSent,
    writeHead(status, headers) {
      res.writeHead(status, headers);
    },
    write(bytes, onDrain) {
      if (bytes.length === 0 || res.write(bytes)) return true;
      res.once('drain', onDrain);
      return false;
    },
  };
}
