/** Answers as bytes that readers can follow from any offset. */
import type { ServerResponse } from 'node:http';

/** Bytes of one answer, kept so that readers can start at any offset. */
export interface AnswerBuffer {
  append(text: string): void;
  /** Marks the answer as whole and ends its readers. */
  end(): void;
  /** Destroys all readers and takes no more. */
  abort(): void;
  /** Destroys the connections of all readers; the answer goes on. */
  cut(): void;
  /** Sends the answer from a byte offset to a response, following it until it is whole. */
  sendTo(res: ServerResponse, offset: number): void;
  /** Bytes so far. */
  length(): number;
  isEnded(): boolean;
  /** Whether the answer ended before it was whole. */
  isAborted(): boolean;
}

/** Creates an empty answer. With `flushHeaders` a reader gets its headers before the first byte. */
export const createAnswerBuffer = (flushHeaders: boolean): AnswerBuffer => {
  const chunks: Buffer[] = [];
  const readers = new Set<ServerResponse>();
  let length = 0;
  let state: 'open' | 'ended' | 'aborted' = 'open';

  const cut = () => {
    readers.forEach((res) => res.destroy());
    readers.clear();
  };

  return {
    append: (text) => {
      const chunk = Buffer.from(text);
      chunks.push(chunk);
      length += chunk.length;
      readers.forEach((res) => res.write(chunk));
    },
    end: () => {
      state = 'ended';
      readers.forEach((res) => res.end());
      readers.clear();
    },
    abort: () => {
      state = 'aborted';
      cut();
    },
    cut,
    sendTo: (res, offset) => {
      if (state === 'aborted') {
        res.destroy();
        return;
      }
      const rest = Buffer.concat(chunks).subarray(offset);
      if (state === 'ended') {
        res.end(rest);
        return;
      }
      if (rest.length > 0) res.write(rest);
      else if (flushHeaders) res.flushHeaders();
      readers.add(res);
      res.once('close', () => readers.delete(res));
    },
    length: () => length,
    isEnded: () => state !== 'open',
    isAborted: () => state === 'aborted',
  };
};
