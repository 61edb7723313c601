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
}

const EVENT_END = '\n\n';
const ID_FIELD = '\nid:';

function findLastEventId(bytes: Buffer): string | undefined {
  const text = `\n${bytes.toString('latin1')}`;
  const fieldStart = text.lastIndexOf(ID_FIELD);
  if (fieldStart < 0) return undefined;
  const valueStart = fieldStart + ID_FIELD.length;
  return text.slice(valueStart, text.indexOf('\n', valueStart)).trim();
}

/** Creates a splitter. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);

  return {
    push(chunk) {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const boundary = bytes.lastIndexOf(EVENT_END);
      if (boundary < 0) {
        pending = bytes;
        return undefined;
      }
      const complete = bytes.subarray(0, boundary + EVENT_END.length);
      pending = bytes.subarray(boundary + EVENT_END.length);
      return { bytes: complete, lastEventId: findLastEventId(complete) };
    },
    remainder: () => pending,
  };
}
