/** Splitter of server-sent event streams at event boundaries, so that a caller never receives part of an event. */

/** Complete events of one or more chunks. */
export interface CompleteEvents {
  bytes: Buffer;
  /** Last event id among these events; undefined if none has an id. */
  lastEventId: string | undefined;
}

/** Splitter of one stream. */
export interface EventSplitter {
  /** Adds a chunk and returns the events that are now complete; undefined if there are none. */
  push(chunk: Buffer): CompleteEvents | undefined;
  /** Returns the bytes after the last complete event. */
  remainder(): Buffer;
  /** Number of bytes after the last complete event. */
  pendingBytes(): number;
}

const NEWLINE = 0x0a;
const EVENT_END = '\n\n';
const ID_FIELD = '\nid:';

function findLastEventId(bytes: Buffer): string | undefined {
  const text = `\n${bytes.toString('latin1')}`;
  const fieldStart = text.lastIndexOf(ID_FIELD);
  if (fieldStart < 0) return undefined;
  const valueStart = fieldStart + ID_FIELD.length;
  return text.slice(valueStart, text.indexOf('\n', valueStart)).trim();
}

/** Returns the offset behind the last event end in `chunk`, which follows the byte `previous`; 0 if it contains none. */
function findEventsEnd(chunk: Buffer, previous: number | undefined): number {
  const boundary = chunk.lastIndexOf(EVENT_END);
  if (boundary >= 0) return boundary + EVENT_END.length;
  return previous === NEWLINE && chunk[0] === NEWLINE ? 1 : 0;
}

/** Creates a splitter. Each byte is searched once and copied once, however long an event is. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer[] = [];
  let pendingBytes = 0;

  function keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    pending.push(bytes);
    pendingBytes += bytes.length;
  }

  return {
    push(chunk) {
      const eventsEnd = findEventsEnd(chunk, pending.at(-1)?.at(-1));
      if (eventsEnd === 0) {
        keep(chunk);
        return undefined;
      }
      const bytes = Buffer.concat([...pending, chunk.subarray(0, eventsEnd)]);
      pending = [];
      pendingBytes = 0;
      keep(chunk.subarray(eventsEnd));
      return { bytes, lastEventId: findLastEventId(bytes) };
    },
    remainder: () => Buffer.concat(pending),
    pendingBytes: () => pendingBytes,
  };
}
