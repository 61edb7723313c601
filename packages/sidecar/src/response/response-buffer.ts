/** Bounded answer buffer: holds up the backend server when readers are slow, forgets the oldest bytes when it is long. */
import type { ResponseBuffer, ResponseEnd, ResponseHead, ResponseBufferOptions } from './types.js';

const DEFAULT_KEEP_BYTES = 1024 * 1024;
const DEFAULT_WINDOW_BYTES = 256 * 1024;

/** Creates an empty answer. */
export function createResponseBuffer(options: ResponseBufferOptions = {}): ResponseBuffer {
  const { retainedBytes = DEFAULT_KEEP_BYTES, maxUnreadBytes = DEFAULT_WINDOW_BYTES } = options;
  const chunks: Buffer[] = [];
  const wakeUps = new Set<() => void>();
  let startByte = 0;
  let lengthBytes = 0;
  let furthestRead = 0;
  let ended: ResponseEnd | null = null;
  let answerHead: ResponseHead | null = null;

  function wake(): void {
    const waiting = [...wakeUps];
    wakeUps.clear();
    waiting.forEach((resolve) => resolve());
  }

  function changed(): Promise<void> {
    return new Promise((resolve) => {
      wakeUps.add(resolve);
    });
  }

  function forgetOldest(): void {
    while (chunks.length > 0) {
      const oldest = chunks[0] as Buffer;
      const endByte = startByte + oldest.length;
      if (endByte > furthestRead || lengthBytes - endByte < retainedBytes) return;
      chunks.shift();
      startByte = endByte;
    }
  }

  function chunkAt(offset: number): Buffer | null {
    let at = startByte;
    for (const chunk of chunks) {
      if (offset < at + chunk.length) return chunk.subarray(offset - at);
      at += chunk.length;
    }
    return null;
  }

  return {
    async waitForHead() {
      while (answerHead === null && ended === null) await changed();
      return answerHead;
    },
    setHead(head) {
      answerHead ??= head;
      wake();
    },
    async append(chunk) {
      chunks.push(chunk);
      lengthBytes += chunk.length;
      wake();
      while (ended === null && lengthBytes - furthestRead > maxUnreadBytes) await changed();
    },
    finish(end) {
      ended ??= end;
      wake();
    },
    end: () => ended,
    length: () => lengthBytes,
    startOffset: () => startByte,
    async *read(offset) {
      let at = offset;
      for (;;) {
        const chunk = chunkAt(at);
        if (chunk) {
          at += chunk.length;
          yield chunk;
          furthestRead = Math.max(furthestRead, at);
          forgetOldest();
          wake();
        } else if (ended !== null) {
          return;
        } else {
          await changed();
        }
      }
    },
  };
}
