/** Bounded response buffer: applies backpressure to the backend server and evicts the oldest bytes that have been read. */
import type { ResponseBuffer, ResponseBufferOptions, ResponseEnd, ResponseHead } from './types.js';

const DEFAULT_RETAINED_BYTES = 1024 * 1024;
const DEFAULT_MAX_UNREAD_BYTES = 256 * 1024;

/** Creates an empty buffer. */
export function createResponseBuffer(options: ResponseBufferOptions = {}): ResponseBuffer {
  const { retainedBytes = DEFAULT_RETAINED_BYTES, maxUnreadBytes = DEFAULT_MAX_UNREAD_BYTES } =
    options;
  const chunks: Buffer[] = [];
  const waiters = new Set<() => void>();
  let firstOffset = 0;
  let receivedBytes = 0;
  let maxReadOffset = 0;
  let outcome: ResponseEnd | null = null;
  let responseHead: ResponseHead | null = null;

  function notifyWaiters(): void {
    const notified = [...waiters];
    waiters.clear();
    notified.forEach((resolve) => resolve());
  }

  function nextChange(): Promise<void> {
    return new Promise((resolve) => {
      waiters.add(resolve);
    });
  }

  function evictOldest(): void {
    while (chunks.length > 0) {
      const oldest = chunks[0] as Buffer;
      const endOffset = firstOffset + oldest.length;
      if (endOffset > maxReadOffset || receivedBytes - endOffset < retainedBytes) return;
      chunks.shift();
      firstOffset = endOffset;
    }
  }

  function chunkFrom(offset: number): Buffer | null {
    let chunkOffset = firstOffset;
    for (const chunk of chunks) {
      if (offset < chunkOffset + chunk.length) return chunk.subarray(offset - chunkOffset);
      chunkOffset += chunk.length;
    }
    return null;
  }

  return {
    async waitForHead() {
      while (responseHead === null && outcome === null) await nextChange();
      return responseHead;
    },
    setHead(head) {
      responseHead ??= head;
      notifyWaiters();
    },
    async append(chunk) {
      chunks.push(chunk);
      receivedBytes += chunk.length;
      notifyWaiters();
      while (outcome === null && receivedBytes - maxReadOffset > maxUnreadBytes) await nextChange();
    },
    finish(end) {
      outcome ??= end;
      notifyWaiters();
    },
    end: () => outcome,
    length: () => receivedBytes,
    startOffset: () => firstOffset,
    async *read(offset) {
      let readOffset = offset;
      for (;;) {
        const chunk = chunkFrom(readOffset);
        if (chunk) {
          readOffset += chunk.length;
          yield chunk;
          maxReadOffset = Math.max(maxReadOffset, readOffset);
          evictOldest();
          notifyWaiters();
        } else if (outcome !== null) {
          return;
        } else {
          await nextChange();
        }
      }
    },
  };
}
