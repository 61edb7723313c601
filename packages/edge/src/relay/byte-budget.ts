/** Memory budget that buffered responses share. */

/** Budget in bytes. */
export interface ByteBudget {
  /** Returns an account of one buffer with no bytes. */
  open(): BudgetAccount;
}

/** Bytes of one buffer that count towards the budget. */
export interface BudgetAccount {
  /** Adds bytes; returns false if the budget is exhausted. */
  add(bytes: number): boolean;
  /** Returns all bytes to the budget. */
  close(): void;
}

/** Options of a budget. */
export interface ByteBudgetOptions {
  maxBytes: number;
  /** Bytes of each buffer that don't count, so that a few large buffers can't exhaust the budget for ordinary ones. */
  freeBytesPerBuffer: number;
}

/** Creates a budget of which nothing is used. */
export function createByteBudget({ maxBytes, freeBytesPerBuffer }: ByteBudgetOptions): ByteBudget {
  let usedBytes = 0;

  return {
    open() {
      let receivedBytes = 0;
      const countedBytes = (): number => Math.max(0, receivedBytes - freeBytesPerBuffer);
      return {
        add(bytes) {
          const before = countedBytes();
          receivedBytes += bytes;
          const increase = countedBytes() - before;
          usedBytes += increase;
          return increase === 0 || usedBytes <= maxBytes;
        },
        close() {
          usedBytes -= countedBytes();
          receivedBytes = 0;
        },
      };
    },
  };
}
