/** Reading of a backend server's response, either buffered or discarded. */
import type { IncomingMessage } from 'node:http';
import { buildResponseHeaders } from '@kingcupsill/prepared-platform';
import { callAfter } from '@kingcupsill/runtime';
import { createByteCollector } from '@kingcupsill/core/bytes';
import { getBodyFraming } from './close-delimited.js';
import { hasFramingTrailer } from './framing-trailers.js';
import { HeldFor } from './response-memory.js';
import type { ResponseMemory } from './response-memory.js';
import type { AttemptListener, BufferedResponse } from './types.js';

/** Maximum size of a buffered response. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
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
  /** The server answers, but its response can't be passed on. */
  onInvalid: (detail: string) => void;
  /** Returns whether the attempt has ended or was cancelled, so that further bytes are dropped. */
  isEnded: () => boolean;
}

/** Reads and discards a response, so that its connection can be reused. Calls `onExceeded` if it is too large or too slow. */
export function discardResponse(res: IncomingMessage, onExceeded: () => void): void {
  let receivedBytes = 0;
  const timer = callAfter(MAX_DISCARD_MS, onExceeded);
  res.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_DISCARDED_BYTES) onExceeded();
  });
  res.on('close', timer.close);
}

/** Buffers a response until it is complete. */
export function bufferResponse(
  res: IncomingMessage,
  memory: ResponseMemory,
  listener: AttemptListener,
  { protect, onComplete, onFailure, onInvalid, isEnded }: ResponseHandlers,
): void {
  const collector = createByteCollector();
  const statedBytes = Number(res.headers['content-length'] ?? NaN);
  if (statedBytes > MAX_BUFFERED_BYTES) {
    onInvalid('response too large');
    return;
  }
  const account = memory.open({
    heldFor: HeldFor.Response,
    hasStatedLength: !Number.isNaN(statedBytes),
    onGivenUp: protect(() => breakOff('response buffers full')),
  });
  let receivedBytes = 0;
  let isDelivered = false;
  res.on('close', () => {
    if (!isDelivered) account.close();
  });

  function breakOff(detail: string): void {
    // At once: the connection closes only after others have been read, whose bytes need the memory.
    collector.clear();
    account.close();
    onInvalid(detail);
  }

  function onData(chunk: Buffer): void {
    if (isEnded()) return;
    collector.add(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_BUFFERED_BYTES) breakOff('response too large');
    else account.resize(collector.heldBytes());
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
      hasFramingTrailer: hasFramingTrailer(res),
    });
    const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
    if (isEnded()) return;
    isDelivered = true;
    account.keep();
    const status = res.statusCode!;
    const chunks = collector.chunks();
    onComplete({ status, headers, chunks, bodyBytes: receivedBytes, release: account.close });
  }

  res.on('data', protect(onData));
  res.on('end', protect(onEnd));
}
