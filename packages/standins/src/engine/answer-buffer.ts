/** Buffered answers that can be streamed from any byte offset. */
import type { ServerResponse } from 'node:http';

/** Buffers the bytes of one answer, so that a response can start at any offset. */
export interface AnswerBuffer {
  append(text: string): void;
  /** Marks the answer as complete and ends the responses that follow it. */
  end(): void;
  /** Marks the answer as incomplete and destroys all current and later responses. */
  abort(): void;
  /** Destroys the connections of all current responses; the answer continues to grow. */
  destroyReaders(): void;
  /** Streams the answer from a byte offset to a response until the answer is complete. */
  sendTo(res: ServerResponse, offset: number): void;
  /** Number of bytes appended so far. */
  length(): number;
  isEnded(): boolean;
  /** Returns whether the answer ended incomplete. */
  isAborted(): boolean;
}

/** Creates an empty buffer. `flushHeaders` sends response headers before the first byte of the body. */
export const createAnswerBuffer = (flushHeaders: boolean): AnswerBuffer => {
  const chunks: Buffer[] = [];
  const readers = new Set<ServerResponse>();
  let length = 0;
  let state: 'open' | 'ended' | 'aborted' = 'open';

  const destroyReaders = () => {
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
      destroyReaders();
    },
    destroyReaders,
    sendTo: (res, offset) => {
      if (state === 'aborted') {
        res.destroy();
        return;
      }
      const remaining = Buffer.concat(chunks).subarray(offset);
      if (state === 'ended') {
        res.end(remaining);
        return;
      }
      if (remaining.length > 0) res.write(remaining);
      else if (flushHeaders) res.flushHeaders();
      readers.add(res);
      res.once('close', () => readers.delete(res));
    },
    length: () => length,
    isEnded: () => state !== 'open',
    isAborted: () => state === 'aborted',
  };
};
