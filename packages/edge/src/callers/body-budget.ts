/** Memory budget of the request bodies that a router holds until their requests end. */

/** Memory that is reserved for one body. */
export interface BodyReservation {
  /** Reserves `bytes` in all for the body. Returns false, and keeps what was reserved before, if the memory is used up. */
  growTo(bytes: number): boolean;
  /** Returns all of it. */
  release(): void;
}

/** Budget in bytes. */
export interface BodyBudget {
  /** Returns a reservation of no memory. Bodies without an account count as those of one account. */
  open(account: string | undefined): BodyReservation;
  heldBytes(): number;
}

/** Memory for one size class of bodies. */
interface Pool {
  /** Adds bytes unless the memory is used up. Doesn't look at their number, so that no size is refused before another. */
  tryAdd(account: string, bytes: number): boolean;
  remove(account: string, bytes: number): void;
  heldBytes(): number;
}

/** Maximum size of a small body. Small bodies have memory of their own, which large ones can't use up. */
const MAX_SMALL_BYTES = 64 * 1024;
/** Fractions of the process's memory. The kernel may hold as much again for servers that read slowly. */
const SMALL_FRACTION = 0.08;
const LARGE_FRACTION = 0.1;
export const BODIES_FRACTION = SMALL_FRACTION + LARGE_FRACTION;
const BYTES_PER_MB = 1024 * 1024;
const NO_ACCOUNT = '';

/** Creates an empty pool, which holds at most `maxBytes` and one body more. */
function createPool(maxBytes: number): Pool {
  const heldByAccount = new Map<string, number>();
  let heldBytes = 0;

  return {
    tryAdd(account, bytes) {
      const ownBytes = heldByAccount.get(account) ?? 0;
      // An account may hold as much as is left to the others, so that something is always left for one that holds nothing.
      if (ownBytes >= maxBytes - heldBytes) return false;
      heldByAccount.set(account, ownBytes + bytes);
      heldBytes += bytes;
      return true;
    },
    remove(account, bytes) {
      const ownBytes = (heldByAccount.get(account) ?? 0) - bytes;
      heldBytes -= bytes;
      if (ownBytes === 0) heldByAccount.delete(account);
      else heldByAccount.set(account, ownBytes);
    },
    heldBytes: () => heldBytes,
  };
}

/** Creates a budget of which nothing is used, for a process with `memoryMb` megabytes in all. */
export function createBodyBudget(memoryMb: number): BodyBudget {
  const small = createPool(memoryMb * BYTES_PER_MB * SMALL_FRACTION);
  const large = createPool(memoryMb * BYTES_PER_MB * LARGE_FRACTION);
  const poolFor = (bytes: number): Pool => (bytes > MAX_SMALL_BYTES ? large : small);

  return {
    open(account = NO_ACCOUNT) {
      let reservedBytes = 0;

      function release(): void {
        if (reservedBytes > 0) poolFor(reservedBytes).remove(account, reservedBytes);
        reservedBytes = 0;
      }

      return {
        growTo(bytes) {
          if (bytes <= reservedBytes) return true;
          const isSamePool = poolFor(bytes) === poolFor(reservedBytes);
          const addedBytes = isSamePool ? bytes - reservedBytes : bytes;
          if (!poolFor(bytes).tryAdd(account, addedBytes)) return false;
          if (!isSamePool) release();
          reservedBytes = bytes;
          return true;
        },
        release,
      };
    },
    heldBytes: () => small.heldBytes() + large.heldBytes(),
  };
}
