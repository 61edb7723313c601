/** Cuts a stream of server-sent events at event ends, so that a caller never gets part of an event. */

/** Whole events of one piece. */
export interface CompleteEvents {
  bytes: Buffer;
  /** Id of the last whole event; undefined where none carries one. */
  lastEventId: string | undefined;
}

/** Takes pieces as they come. */
export interface EventSplitter {
  push(piece: Buffer): CompleteEvents | undefined;
  /** What follows the last whole event. */
  remainder(): Buffer;
}

const EVENT_END = '\n\n';
const ID_FIELD = '\nid:';

function lastIdOf(bytes: Buffer): string | undefined {
  const text = `\n${bytes.toString('latin1')}`;
  const start = text.lastIndexOf(ID_FIELD);
  if (start < 0) return undefined;
  const from = start + ID_FIELD.length;
  return text.slice(from, text.indexOf('\n', from)).trim();
}

/** Creates a splitter. */
export function createEventSplitter(): EventSplitter {
  let tail: Buffer = Buffer.alloc(0);

  return {
    push(piece) {
      const bytes = tail.length === 0 ? piece : Buffer.concat([tail, piece]);
      const end = bytes.lastIndexOf(EVENT_END);
      if (end < 0) {
        tail = bytes;
        return undefined;
      }
      const whole = bytes.subarray(0, end + EVENT_END.length);
      tail = bytes.subarray(end + EVENT_END.length);
      return { bytes: whole, lastEventId: lastIdOf(whole) };
    },
    remainder: () => tail,
  };
}
