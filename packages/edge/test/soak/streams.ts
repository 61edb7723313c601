/** Streams of the soak's backend servers, whole, broken off, and spoiled where they resume another server's stream. */
import type { Arrival } from '../standins/server-standin.js';
import { parseWork, streamEvent } from './workload.js';
import type { SoftwareVersion } from './workload.js';

/** What a server sends in place of the rest of a stream that it is asked to resume. */
export const Resumption = {
  Correct: 'correct',
  NoContent: 'no-content',
  Empty: 'empty',
  /** A second response head stands before the events. */
  SecondHead: 'second-head',
  /** One event without an id, and the end. */
  ForeignEvent: 'foreign-event',
  /** All events from the first one on. */
  FromStart: 'from-start',
  /** The next event is left out. */
  Gap: 'gap',
} as const;
export type Resumption = (typeof Resumption)[keyof typeof Resumption];

export interface StreamOptions {
  version: SoftwareVersion;
  headers: Record<string, string>;
  /** Closes the connection in or before the third event. */
  truncates: boolean;
  resumption: Resumption;
}

const EVENT_INTERVAL_MS = 25;
const TRUNCATED_EVENT = 3;
const SECOND_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';

/** Streams sent so far; every second one has neither a length nor chunks and ends with its connection. */
let streamCount = 0;

/** Answers a resumed stream in one piece. */
const SHORT_ANSWERS: Partial<Record<Resumption, { status: number; body: string }>> = {
  [Resumption.NoContent]: { status: 204, body: '' },
  [Resumption.Empty]: { status: 200, body: '' },
  [Resumption.ForeignEvent]: { status: 200, body: 'data: other\n\n' },
};

function sendEvents(
  { res, req, header }: Arrival,
  lastIndex: number,
  { version, truncates }: StreamOptions,
): void {
  const { events } = parseWork(req.url!);
  const isCloseDelimited = streamCount % 2 === 0;
  const breaksInsideEvent = streamCount % 4 < 2;
  let index = lastIndex;
  const timer = setInterval(() => {
    index += 1;
    if (truncates && index === TRUNCATED_EVENT) {
      clearInterval(timer);
      const part = `id: ${index}\nda`;
      // On an event's boundary, the plain end of a connection would look like the end of the stream.
      if (!breaksInsideEvent) req.socket.resetAndDestroy();
      else if (isCloseDelimited) res.end(part);
      else res.write(part, () => res.destroy());
      return;
    }
    res.write(streamEvent(header('attempt-id') ?? '', index, version, events));
    if (index < events) return;
    clearInterval(timer);
    res.end();
  }, EVENT_INTERVAL_MS);
  res.on('close', () => clearInterval(timer));
}

/** Sends the events after `Last-Event-Id`. */
export function sendStream(arrival: Arrival, options: StreamOptions): void {
  const { req, res, header } = arrival;
  const lastIndex = Number(header('last-event-id') ?? 0);
  const { events } = parseWork(req.url!);
  const resumption = lastIndex > 0 && lastIndex < events ? options.resumption : Resumption.Correct;
  const headers = { ...options.headers, 'Content-Type': 'text/event-stream' };
  const shortAnswer = SHORT_ANSWERS[resumption];
  streamCount += 1;
  const isCloseDelimited = streamCount % 2 === 0;
  if (isCloseDelimited) res.removeHeader('Transfer-Encoding');
  if (shortAnswer !== undefined) {
    if (streamCount % 4 === 1) res.setHeader('Content-Length', shortAnswer.body.length);
    res.writeHead(shortAnswer.status, headers).end(shortAnswer.body);
    return;
  }
  res.writeHead(200, headers);
  if (resumption === Resumption.SecondHead) res.write(SECOND_HEAD);
  // The connection broke between the last event and the end of the stream.
  if (lastIndex >= events) res.end();
  else if (resumption === Resumption.FromStart) sendEvents(arrival, 0, options);
  else sendEvents(arrival, lastIndex + (resumption === Resumption.Gap ? 1 : 0), options);
}
