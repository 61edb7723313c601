/** Takes a backend server's answer: whole into memory, or event by event to the caller. */
import type { IncomingMessage } from 'node:http';
import { buildResponseHeaders } from '@kingcupsill/prepared-platform';
import { createEventSplitter } from './event-splitter.js';
import type { ResponseSink, AttemptListener, BufferedResponse } from './types.js';

/** Largest answer that is held whole before it goes to the caller. */
const MOST_HELD_BYTES = 8 * 1024 * 1024;

/** How taking an answer ended. */
export interface ResponseHandlers {
  onComplete: (held: BufferedResponse | undefined) => void;
  onFailure: (detail: string) => void;
  /** The attempt has ended or was cancelled: bytes that still arrive are dropped. */
  isEnded: () => boolean;
}

/** Holds an answer in memory until it is whole. */
export function bufferResponse(
  res: IncomingMessage,
  { onComplete, onFailure }: ResponseHandlers,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  res.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > MOST_HELD_BYTES) onFailure('answer too large');
  });
  res.on('end', () => {
    if (!res.complete) {
      onFailure('answer cut short');
      return;
    }
    const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
    onComplete({ status: res.statusCode!, headers, body: Buffer.concat(chunks) });
  });
}

/** Passes whole events on as they come. The head goes with the first of them, so that a stream without any can still fail. */
export function relayEvents(
  res: IncomingMessage,
  target: ResponseSink,
  listener: AttemptListener,
  { onComplete, onFailure, isEnded }: ResponseHandlers,
): void {
  const splitter = createEventSplitter();
  const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);

  function deliver(bytes: Buffer, lastId: string | undefined): void {
    listener.onBegun();
    if (!target.isHeadSent()) target.writeHead(res.statusCode!, headers);
    if (!target.write(bytes, () => res.resume())) res.pause();
    listener.onDelivered(lastId);
  }

  res.on('data', (piece: Buffer) => {
    if (isEnded()) return;
    const events = splitter.push(piece);
    if (events !== undefined) deliver(events.bytes, events.lastEventId);
  });
  res.on('end', () => {
    if (isEnded()) return;
    if (!res.complete) {
      onFailure('stream cut short');
      return;
    }
    const rest = splitter.remainder();
    if (rest.length > 0 || !target.isHeadSent()) deliver(rest, undefined);
    onComplete(undefined);
  });
}
