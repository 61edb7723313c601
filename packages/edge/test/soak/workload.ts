/** Requests of the soak's callers, and the answers that they expect. A request's path states the work that it asks for. */
import { RouteKind } from './types.js';

/** Request that a caller sends. */
export interface CallRequest {
  kind: RouteKind;
  path: string;
  bodyBytes: number;
  /** Time by which the last byte of the body follows the rest. */
  lastByteDelayMs: number;
  /** Time for which the caller pauses after each part of the answer that it reads. */
  readPauseMs: number;
  deadlineMs: number;
}

/** Services of the backend servers. */
export const Service = { Streams: 's1', Plain: 's2' } as const;
export type Service = (typeof Service)[keyof typeof Service];

/** Deadline of most plain requests. */
export const DEADLINE_MS = 3000;
/** Deadline of streams, and of requests that take long to send or to serve. */
const LONG_DEADLINE_MS = 9000;
/** Timeouts of routes, below the deadlines of callers, so that the router's own timeout is exercised too. */
export const SAFE_TIMEOUT_MS = 2500;
export const TIMEOUT_MS = 8000;
/** Number of events in a stream whose path doesn't state it. */
export const STREAM_EVENTS = 6;
const MIN_STREAM_EVENTS = 10;
const MAX_STREAM_EVENTS = 96;
const SERVICE_TIME_MS = 20;
const MAX_SERVICE_TIME_MS = 6000;
const MIN_BODY_BYTES = 600;
export const MAX_BODY_BYTES = 100_000;
const ANSWER_BYTES = 800;
const LARGE_ANSWER_BYTES = 400_000;
const MAX_LAST_BYTE_DELAY_MS = 5000;
const READ_PAUSE_MS = 60;
/** Versions of the servers' software, which write streams of their own. */
export const SOFTWARE_VERSIONS = ['v1', 'v2'] as const;
export type SoftwareVersion = (typeof SOFTWARE_VERSIONS)[number];

/** Kinds of requests, as often as callers send them. */
const KIND_MIX: readonly RouteKind[] = [
  RouteKind.ResumableStream,
  RouteKind.ResumableStream,
  RouteKind.NonResumableStream,
  RouteKind.Unsafe,
  RouteKind.Unsafe,
  RouteKind.Safe,
];

/** Returns the work that a path asks for: the time until the answer begins, and the size of a stream or of a plain answer. */
export function parseWork(path: string) {
  const query = new URLSearchParams(path.split('?')[1]);
  return {
    serviceTimeMs: Number(query.get('work') ?? SERVICE_TIME_MS),
    events: Number(query.get('events') ?? STREAM_EVENTS),
    answerBytes: Number(query.get('bytes') ?? ANSWER_BYTES),
  };
}

/** Draws the request with a given number; each of the unusual properties has the given probability. */
export function drawRequest(
  random: () => number,
  index: number,
  unusualFraction: number,
): CallRequest {
  const isUnusual = () => random() < unusualFraction;
  const kind = KIND_MIX[Math.floor(random() * KIND_MIX.length)]!;
  const isStream = kind === RouteKind.ResumableStream || kind === RouteKind.NonResumableStream;
  const isLong = isUnusual();
  const hasLateByte = isUnusual() && kind !== RouteKind.Safe;
  const work = Math.round((isLong ? MAX_SERVICE_TIME_MS : 2 * SERVICE_TIME_MS) * random());
  const events = Math.round(
    MIN_STREAM_EVENTS + (MAX_STREAM_EVENTS - MIN_STREAM_EVENTS) * random() ** 3,
  );
  const readsSlowly = !isStream && isUnusual();
  const bytes = readsSlowly ? LARGE_ANSWER_BYTES : ANSWER_BYTES;
  const bodyBytes = Math.round(MIN_BODY_BYTES * (MAX_BODY_BYTES / MIN_BODY_BYTES) ** random());
  return {
    kind,
    path: `/${kind}/${index}?work=${work}&${isStream ? `events=${events}` : `bytes=${bytes}`}`,
    bodyBytes: kind === RouteKind.Safe ? 0 : bodyBytes,
    lastByteDelayMs: hasLateByte ? MAX_LAST_BYTE_DELAY_MS * random() : 0,
    readPauseMs: readsSlowly ? READ_PAUSE_MS : 0,
    deadlineMs: isStream || isLong || hasLateByte ? LONG_DEADLINE_MS : DEADLINE_MS,
  };
}

/** Returns the expected body of a plain answer. */
export function answerBody(attemptId: string, path: string): string {
  const unit = `${attemptId} ${path} `;
  return unit.repeat(Math.ceil(parseWork(path).answerBytes / unit.length));
}

/** Returns the expected event of a stream at a 1-based index. */
export function streamEvent(
  attemptId: string,
  index: number,
  version: SoftwareVersion,
  events: number = STREAM_EVENTS,
): string {
  return `id: ${index}\ndata: ${attemptId} ${index}/${events} ${version}\n\n`;
}
