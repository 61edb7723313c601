/** Reading of a backend server's response, either buffered or streamed to the caller event by event. */
import type { IncomingMessage } from 'node:http';
import { buildResponseHeaders } from '@kingcupsill/prepared-platform';
import { createEventSplitter } from './event-splitter.js';
import type { AttemptListener, BufferedResponse, ResponseSink } from './types.js';

/** Maximum size of a buffered response. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Callbacks for a response that is being read. */
export interface ResponseHandlers {
  onComplete: (response: BufferedResponse | undefined) => void;
  onFailure: (detail: string) => void;
  /** Returns whether the attempt has ended or was cancelled, so that further bytes are dropped. */
  isEnded: () => boolean;
}

/** Buffers a response until it is complete. */
export function bufferResponse(
  res: IncomingMessage,
  { onComplete, onFailure }: ResponseHandlers,
): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  res.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_BUFFERED_BYTES) onFailure('response too large');
  });
  res.on('end', () => {
    if (!res.complete) {
      onFailure('response ended early');
      return;
    }
    const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
    onComplete({ status: res.statusCode!, headers, body: Buffer.concat(chunks) });
  });
}

/** Forwards complete events as they arrive. The head is sent with the first event, so that a stream without events can still fail. */
export function relayEvents(
  res: IncomingMessage,
  sink: ResponseSink,
  listener: AttemptListener,
  { onComplete, onFailure, isEnded }: ResponseHandlers,
): void {
  const splitter = createEventSplitter();
  const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);

  function deliver(bytes: Buffer, lastEventId: string | undefined): void {
    listener.onBegun();
    if (!sink.isHeadSent()) sink.writeHead(res.statusCode!, headers);
    if (!sink.write(bytes, () => res.resume())) res.pause();
    listener.onDelivered(lastEventId);
  }

  res.on('data', (chunk: Buffer) => {
    if (isEnded()) return;
    const events = splitter.push(chunk);
    if (events !== undefined) deliver(events.bytes, events.lastEventId);
  });
  res.on('end', () => {
    if (isEnded()) return;
    if (!res.complete) {
      onFailure('stream ended early');
      return;
    }
    const rest = splitter.remainder();
    if (rest.length > 0 || !sink.isHeadSent()) deliver(rest, undefined);
    onComplete(undefined);
  });
}
