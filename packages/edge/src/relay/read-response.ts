/** Reading of a backend server's response, either buffered or streamed to the caller event by event. */
import type { IncomingMessage } from 'node:http';
import { createEventSplitter } from '@kingcupsill/core/event-stream';
import { isFieldValue } from '@kingcupsill/core/http-syntax';
import { buildResponseHeaders } from '@kingcupsill/prepared-platform';
import type { ByteBudget } from './byte-budget.js';
import { getBodyFraming } from './close-delimited.js';
import { BodyFraming } from './types.js';
import type { AttemptListener, BufferedResponse, ResponseSink } from './types.js';

/** Maximum size of a buffered response. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Maximum size of one event of a stream. A server that exceeds it sends no event stream. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Maximum size of a body whose content doesn't matter, and maximum time to receive it, before its connection is closed. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const MAX_DISCARD_MS = 1000;

/** Returns a callback whose errors end the attempt. */
export type Protect = <TArgs extends unknown[]>(
  callback: (...args: TArgs) => void,
) => (...args: TArgs) => void;

/** Callbacks for a response that is being read. */
export interface ResponseHandlers {
  protect: Protect;
  onComplete: (response: BufferedResponse | undefined) => void;
  onFailure: (detail: string) => void;
  /** Returns whether the attempt has ended or was cancelled, so that further bytes are dropped. */
  isEnded: () => boolean;
}

/** Reads and discards a response, so that its connection can be reused. Calls `onExceeded` if it is too large or too slow. */
export function discardResponse(res: IncomingMessage, onExceeded: () => void): void {
  let receivedBytes = 0;
  const timer = setTimeout(onExceeded, MAX_DISCARD_MS);
  res.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_DISCARDED_BYTES) onExceeded();
  });
  res.on('close', () => clearTimeout(timer));
}

/** Buffers a response until it is complete. */
export function bufferResponse(
  res: IncomingMessage,
  budget: ByteBudget,
  listener: AttemptListener,
  { protect, onComplete, onFailure, isEnded }: ResponseHandlers,
): void {
  const chunks: Buffer[] = [];
  const account = budget.open();
  let receivedBytes = 0;
  res.on('close', account.close);

  function onData(chunk: Buffer): void {
    if (isEnded()) return;
    chunks.push(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_BUFFERED_BYTES) onFailure('response too large');
    else if (!account.add(chunk.length)) onFailure('response buffers full');
  }

  function onEnd(): void {
    if (!res.complete) {
      onFailure('response ended early');
      return;
    }
    listener.onBodyEnded({
      framing: getBodyFraming(res),
      bodyBytes: receivedBytes,
      partialEventBytes: 0,
    });
    const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
    onComplete({ status: res.statusCode!, headers, body: Buffer.concat(chunks) });
  }

  res.on('data', protect(onData));
  res.on('end', protect(onEnd));
}

/** Settings of a stream. */
export interface StreamOptions {
  sink: ResponseSink;
  listener: AttemptListener;
  /** Another server may continue the stream, so the ids of its events must fit into a request. */
  isResumable: boolean;
  /** The stream continues an earlier one, so it may have no more events. */
  isResumed: boolean;
}

/** Forwards complete events as they arrive. The head is sent with the first event, so that a stream without events can still fail. */
export function relayEvents(
  res: IncomingMessage,
  { sink, listener, isResumable, isResumed }: StreamOptions,
  { protect, onComplete, onFailure, isEnded }: ResponseHandlers,
): void {
  const splitter = createEventSplitter();
  const framing = getBodyFraming(res);
  const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
  let receivedBytes = 0;

  function deliver(bytes: Buffer, lastEventId: string | undefined): void {
    listener.onBegun();
    if (!sink.isHeadSent()) sink.writeHead(res.statusCode!, headers);
    if (!sink.write(bytes, () => res.resume())) res.pause();
    listener.onDelivered(lastEventId);
  }

  function onData(chunk: Buffer): void {
    if (isEnded()) return;
    receivedBytes += chunk.length;
    const events = splitter.push(chunk);
    if (events !== undefined) {
      if (isResumable && !isFieldValue(events.lastEventId ?? '')) {
        onFailure('event id malformed');
        return;
      }
      deliver(events.bytes, events.lastEventId);
    }
    if (splitter.pendingBytes() > MAX_EVENT_BYTES) onFailure('event too large');
  }

  function onEnd(): void {
    if (isEnded()) return;
    if (!res.complete) {
      onFailure('stream ended early');
      return;
    }
    const partialEventBytes = splitter.isInsideEvent() ? splitter.pendingBytes() : 0;
    listener.onBodyEnded({ framing, bodyBytes: receivedBytes, partialEventBytes });
    if (partialEventBytes > 0) {
      onFailure('stream ended inside an event');
      return;
    }
    // The end of a connection that carried no event says nothing about the stream.
    if (framing === BodyFraming.Close && !sink.isHeadSent() && !isResumed) {
      onFailure('stream ended before its first event');
      return;
    }
    const rest = splitter.remainder();
    if (rest.length > 0 || !sink.isHeadSent()) deliver(rest, undefined);
    onComplete(undefined);
  }

  res.on('data', protect(onData));
  res.on('end', protect(onEnd));
}
