/** Takes a backend server's answer: whole into memory, or event by event to the caller. */
import type { IncomingMessage } from 'node:http';
import { buildResponseHeaders } from '@kingcupsill/prepared-platform';
import { createEventSplitter } from './event-splitter.js';
import type { AnswerTarget, AttemptListener, HeldAnswer } from './types.js';

/** Largest answer that is held whole before it goes to the caller. */
const MOST_HELD_BYTES = 8 * 1024 * 1024;

/** How taking an answer ended. */
export interface TakenAnswer {
  whole: (held: HeldAnswer | undefined) => void;
  broken: (detail: string) => void;
  /** The attempt has ended or was cancelled: bytes that still arrive are dropped. */
  isOver: () => boolean;
}

/** Holds an answer in memory until it is whole. */
export function holdAnswer(res: IncomingMessage, { whole, broken }: TakenAnswer): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  res.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > MOST_HELD_BYTES) broken('answer too large');
  });
  res.on('end', () => {
    if (!res.complete) {
      broken('answer cut short');
      return;
    }
    const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
    whole({ status: res.statusCode!, headers, body: Buffer.concat(chunks) });
  });
}

/** Passes whole events on as they come. The head goes with the first of them, so that a stream without any can still fail. */
export function relayEvents(
  res: IncomingMessage,
  target: AnswerTarget,
  listener: AttemptListener,
  { whole, broken, isOver }: TakenAnswer,
): void {
  const splitter = createEventSplitter();
  const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);

  function deliver(bytes: Buffer, lastId: string | undefined): void {
    listener.begun();
    if (!target.started()) target.start(res.statusCode!, headers);
    if (!target.write(bytes, () => res.resume())) res.pause();
    listener.delivered(lastId);
  }

  res.on('data', (piece: Buffer) => {
    if (isOver()) return;
    const events = splitter.push(piece);
    if (events !== undefined) deliver(events.bytes, events.lastId);
  });
  res.on('end', () => {
    if (isOver()) return;
    if (!res.complete) {
      broken('stream cut short');
      return;
    }
    const rest = splitter.rest();
    if (rest.length > 0 || !target.started()) deliver(rest, undefined);
    whole(undefined);
  });
}
