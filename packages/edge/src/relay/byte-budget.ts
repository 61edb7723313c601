/** Memory budget that the responses being read share. */

/** Budget in bytes. */
export interface ByteBudget {
  /** Returns an account of one buffer with no bytes. */
  open(): BudgetAccount;
  /** Bytes of all accounts, including those that don't count. */
  heldBytes(): number;
}

/** Bytes of one buffer that count towards the budget. */
export interface BudgetAccount {
  /** Adds bytes; returns false if the budget is exhausted. */
  add(bytes: number): boolean;
  /** Sets the bytes that the buffer holds now; returns false if the budget is exhausted. */
  resize(bytes: number): boolean;
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
  let heldBytes = 0;

  return {
    heldBytes: () => heldBytes,
    open() {
      let ownBytes = 0;
      const countedBytes = (): number => Math.max(0, ownBytes - freeBytesPerBuffer);

      function resize(bytes: number): boolean {
        const before = countedBytes();
        heldBytes += bytes - ownBytes;
        ownBytes = bytes;
        const increase = countedBytes() - before;
        usedBytes += increase;
        return increase <= 0 || usedBytes <= maxBytes;
      }

      return {
        add: (bytes) => resize(ownBytes + bytes),
        resize,
        close() {
          resize(0);
        },
      };
    },
  };
}
