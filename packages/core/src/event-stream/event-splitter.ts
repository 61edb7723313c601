/** Splitter of server-sent event streams at event boundaries, so that a caller never receives part of an event. */
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
  /** Returns whether these bytes belong to an event, rather than to blank lines or comments between events. */
  isInsideEvent(): boolean;
}

/** A blank line ends an event. The line break before it may be preceded by a carriage return. */
const EVENT_ENDS = ['\n\n', '\n\r\n'];
const MAX_EVENT_END_LENGTH = 3;
const LINE_BREAK = /\r\n|\r|\n/;

function findLastEnd(bytes: Buffer | string): number {
  const ends = EVENT_ENDS.map((eventEnd) => {
    const start = bytes.lastIndexOf(eventEnd);
    return start < 0 ? 0 : start + eventEnd.length;
  });
  return Math.max(...ends);
}

/** Returns the offset behind the last event end in `chunk`, which follows the bytes `previous`; 0 if it contains none. */
function findEventsEnd(chunk: Buffer, previous: string): number {
  const end = findLastEnd(chunk);
  if (end > 0) return end;
  const boundary = previous + chunk.toString('latin1', 0, MAX_EVENT_END_LENGTH - 1);
  return Math.max(0, findLastEnd(boundary) - previous.length);
}

/** Creates a splitter. Each byte is searched once and copied once, however long an event is. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  /** Last pending bytes, which may be the beginning of an event end. */
  let tail = '';

  function keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    pending.push(bytes);
    pendingBytes += bytes.length;
    const tailLength = MAX_EVENT_END_LENGTH - 1;
    const newTail = bytes.toString('latin1', Math.max(0, bytes.length - tailLength));
    tail = (tail + newTail).slice(-tailLength);
  }

  return {
    push(chunk) {
      const eventsEnd = findEventsEnd(chunk, tail);
      if (eventsEnd === 0) {
        keep(chunk);
        return undefined;
      }
      const bytes = Buffer.concat([...pending, chunk.subarray(0, eventsEnd)]);
      pending = [];
      pendingBytes = 0;
      tail = '';
      keep(chunk.subarray(eventsEnd));
      return { bytes, blocks: decodeBlocks(bytes) };
    },
    remainder: () => Buffer.concat(pending),
    pendingBytes: () => pendingBytes,
    isInsideEvent() {
      const lines = Buffer.concat(pending).toString('latin1').split(LINE_BREAK);
      return lines.some((line) => line !== '' && !line.startsWith(':'));
    },
  };
}
