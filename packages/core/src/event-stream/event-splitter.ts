/** Splitter of server-sent event streams at event boundaries, so that a caller never receives part of an event. */
import { createByteCollector } from '../bytes/index.js';
import { decodeBlocks } from './event-block.js';
import type { EventBlock } from './event-block.js';

/** Complete events of one or more chunks. */
export interface CompleteEvents {
  bytes: Buffer;
  /** The events, and the comments and blank lines between them. */
  blocks: EventBlock[];
}

/** Splitter of one stream. */
export interface EventSplitter {
  /** Adds a chunk and returns the events that are now complete; undefined if there are none. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Returns the bytes after the last complete event. */
  remainder(): Buffer;
  /** Number of bytes after the last complete event. */
  pendingBytes(): number;
  /** Memory that these bytes keep. */
  heldBytes(): number;
  /** Drops these bytes. */
  clear(): void;
  /** Returns whether these bytes belong to an event, rather than to blank lines or comments between events. */
  isInsideEvent(): boolean;
}

/** A blank line ends an event. The line break before it may be preceded by a carriage return. */
const EVENT_ENDS = ['\n\n', '\n\r\n'];
const MAX_EVENT_END_LENGTH = 3;
const LINE_BREAK = /\r\n|\r|\n/;

function findLastEnd(text: string): number {
  if (EVENT_ENDS.some((eventEnd) => text.endsWith(eventEnd))) return text.length;
  const ends = EVENT_ENDS.map((eventEnd) => {
    const start = text.lastIndexOf(eventEnd);
    return start < 0 ? 0 : start + eventEnd.length;
  });
  return Math.max(...ends);
}

/** Returns the offset behind the last event end in `text`, which follows the text `previous`; 0 if it contains none. */
function findEventsEnd(text: string, previous: string): number {
  const end = findLastEnd(text);
  if (end > 0) return end;
  const boundary = previous + text.slice(0, MAX_EVENT_END_LENGTH - 1);
  return Math.max(0, findLastEnd(boundary) - previous.length);
}

/** Creates a splitter. Each byte is searched once and copied at most twice, however long an event is. */
export function createEventSplitter(): EventSplitter {
  const pending = createByteCollector();
  let pendingBytes = 0;
  /** Last pending bytes, which may be the beginning of an event end. */
  let tail = '';

  function keep(bytes: Buffer, text: string): void {
    pending.add(bytes);
    pendingBytes += bytes.length;
    tail = (tail + text.slice(1 - MAX_EVENT_END_LENGTH)).slice(1 - MAX_EVENT_END_LENGTH);
  }

  function clear(): void {
    pending.clear();
    pendingBytes = 0;
    tail = '';
  }

  /** Returns the pending bytes and those that follow them, and their text; nothing is pending afterwards. */
  function take(bytes: Buffer, text: string): { bytes: Buffer; text: string } {
    if (pendingBytes === 0) return { bytes, text };
    const taken = Buffer.concat([...pending.chunks(), bytes]);
    clear();
    return { bytes: taken, text: taken.toString('latin1') };
  }

  return {
    push(chunk) {
      const chunkText = chunk.toString('latin1');
      const eventsEnd = findEventsEnd(chunkText, tail);
      if (eventsEnd === 0) {
        if (chunk.length > 0) keep(chunk, chunkText);
        return undefined;
      }
      const endsWithEvent = eventsEnd === chunk.length;
      const complete = endsWithEvent ? chunk : chunk.subarray(0, eventsEnd);
      const { bytes, text } = take(complete, chunkText.slice(0, eventsEnd));
      if (!endsWithEvent) keep(chunk.subarray(eventsEnd), chunkText.slice(eventsEnd));
      return { bytes, blocks: decodeBlocks(text) };
    },
    remainder: () => Buffer.concat(pending.chunks()),
    pendingBytes: () => pendingBytes,
    heldBytes: pending.heldBytes,
    clear,
    isInsideEvent() {
      const lines = Buffer.concat(pending.chunks()).toString('latin1').split(LINE_BREAK);
      return lines.some((line) => line !== '' && !line.startsWith(':'));
    },
  };
}
