/** Reading of a backend server's event stream, which is passed on to the caller event by event. */
import type { IncomingMessage } from 'node:http';
import { createByteCollector } from '@kingcupsill/core/bytes';
import { createEventSplitter } from '@kingcupsill/core/event-stream';
import type {
  CompleteEvents,
  RunHead,
  StreamFault,
  StreamJoin,
} from '@kingcupsill/core/event-stream';
import { buildResponseHeaders } from '@kingcupsill/prepared-platform';
import { getBodyFraming } from './close-delimited.js';
import { hasFramingTrailer } from './framing-trailers.js';
import type { ResponseHandlers } from './read-response.js';
import { HeldFor } from './response-memory.js';
import type { ResponseMemory } from './response-memory.js';
import { BodyFraming } from './types.js';
import type { AttemptListener, ResponseSink } from './types.js';

/** Maximum size of one event of a stream. A server that exceeds it sends no event stream. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Settings of a stream. */
export interface StreamOptions {
  sink: ResponseSink;
  listener: AttemptListener;
  /** Runs of the caller's stream, to which this one is added. */
  streamJoin: StreamJoin;
  /** The stream continues an earlier one, so it may have no more events. */
  isResumed: boolean;
  /** Memory of the bytes that can't be passed on yet. */
  memory: ResponseMemory;
}

/** Returns what of a response's head determines whether it is, or continues, a stream. */
export function getRunHead({ statusCode, headers }: IncomingMessage): RunHead {
  return { status: statusCode!, contentType: headers['content-type'] };
}

/** Blocks that may be delivered, and why the next one may not. */
interface AcceptedBlocks {
  bytes: Buffer;
  hasEvent: boolean;
  lastEventId: string | undefined;
  fault: StreamFault | undefined;
}

function acceptBlocks(streamJoin: StreamJoin, { bytes, blocks }: CompleteEvents): AcceptedBlocks {
  let end = 0;
  let hasEvent = false;
  let lastEventId: string | undefined;
  let fault: StreamFault | undefined;
  for (const block of blocks) {
    fault = streamJoin.accept(block);
    if (fault !== undefined) break;
    end = block.end;
    hasEvent ||= block.isEvent;
    lastEventId = block.id ?? lastEventId;
  }
  const isWhole = end === bytes.length;
  return { bytes: isWhole ? bytes : bytes.subarray(0, end), hasEvent, lastEventId, fault };
}

/** Writer of a run's accepted bytes to the caller. */
interface Delivery {
  write(blocks: Omit<AcceptedBlocks, 'fault'>): void;
  /** Writes the bytes behind the last block of a stream that has ended, and its head if that hasn't been sent. */
  finish(rest: Buffer): void;
  /** Memory of the bytes that wait for the run's first event. */
  heldBytes(): number;
  /** Drops these bytes. */
  clear(): void;
}

function createDelivery(
  res: IncomingMessage,
  { sink, listener, isResumed }: StreamOptions,
): Delivery {
  const headers = buildResponseHeaders(res.rawHeaders, res.headers.connection);
  /** Only the first event of a resumed run shows that it continues the stream, so the comments before it wait. */
  let isHolding = isResumed;
  const held = createByteCollector();
  const resume = (): void => {
    res.resume();
  };

  function deliver(bytes: Buffer, lastEventId: string | undefined): void {
    listener.onBegun();
    if (!sink.isHeadSent()) sink.writeHead(res.statusCode!, headers);
    if (!sink.write(bytes, resume)) res.pause();
    listener.onDelivered(lastEventId);
  }

  /** Returns the bytes that waited, and those that follow them. */
  function takeWith(bytes: Buffer): Buffer {
    const chunks = held.chunks();
    held.clear();
    return chunks.length === 0 ? bytes : Buffer.concat([...chunks, bytes]);
  }

  return {
    write({ bytes, hasEvent, lastEventId }) {
      isHolding &&= !hasEvent;
      if (isHolding) {
        held.add(bytes);
        return;
      }
      const unsent = takeWith(bytes);
      if (unsent.length > 0) deliver(unsent, lastEventId);
    },
    finish(rest) {
      const bytes = takeWith(rest);
      if (bytes.length > 0 || !sink.isHeadSent()) deliver(bytes, undefined);
    },
    heldBytes: held.heldBytes,
    clear: held.clear,
  };
}

/** Forwards complete events as they arrive. The head is sent with the first event, so that a stream without events can still fail. */
export function relayEvents(
  res: IncomingMessage,
  options: StreamOptions,
  { protect, onComplete, onFailure, onInvalid, isEnded }: ResponseHandlers,
): void {
  const { sink, listener, streamJoin, isResumed, memory } = options;
  const splitter = createEventSplitter();
  const delivery = createDelivery(res, options);
  const framing = getBodyFraming(res);
  const account = memory.open({
    heldFor: HeldFor.UnfinishedEvent,
    hasStatedLength: framing === BodyFraming.Length,
    onGivenUp: protect(() => {
      release();
      onInvalid('response buffers full');
    }),
  });
  let receivedBytes = 0;
  res.on('close', account.close);

  /** Gives the memory back at once: the connection closes only after others have been read, whose bytes need it. */
  function release(): void {
    splitter.clear();
    delivery.clear();
    account.close();
  }

  function onData(chunk: Buffer): void {
    if (isEnded()) return;
    receivedBytes += chunk.length;
    const events = splitter.push(chunk);
    if (events !== undefined) {
      const accepted = acceptBlocks(streamJoin, events);
      delivery.write(accepted);
      if (accepted.fault !== undefined) {
        onInvalid(accepted.fault);
        return;
      }
    }
    if (splitter.pendingBytes() + delivery.heldBytes() > MAX_EVENT_BYTES) {
      release();
      onFailure('event too large');
    } else account.resize(splitter.heldBytes() + delivery.heldBytes());
  }

  /** Returns why the end can't be passed on, if the connection may have ended in place of the stream. */
  function findBreak(partialEventBytes: number): string | undefined {
    if (partialEventBytes > 0) return 'stream ended inside an event';
    // The end of a connection that carried no event says nothing about the stream.
    const isUnproven = framing === BodyFraming.Close && !sink.isHeadSent() && !isResumed;
    return isUnproven ? 'stream ended before its first event' : undefined;
  }

  function onEnd(): void {
    if (isEnded()) return;
    if (!res.complete) {
      onFailure('stream ended early');
      return;
    }
    const partialEventBytes = splitter.isInsideEvent() ? splitter.pendingBytes() : 0;
    listener.onBodyEnded({
      framing,
      bodyBytes: receivedBytes,
      partialEventBytes,
      hasFramingTrailer: hasFramingTrailer(res),
    });
    const failure = findBreak(partialEventBytes);
    const fault = streamJoin.endRun();
    if (failure !== undefined) onFailure(failure);
    else if (fault !== undefined) onInvalid(fault);
    else {
      delivery.finish(splitter.remainder());
      onComplete(undefined);
    }
  }

  const headFault = streamJoin.beginRun(getRunHead(res));
  if (headFault !== undefined) {
    onInvalid(`status ${res.statusCode}, ${headFault}`);
    return;
  }
  res.on('data', protect(onData));
  res.on('end', protect(onEnd));
}
