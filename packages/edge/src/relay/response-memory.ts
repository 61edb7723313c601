/** Memory of the responses that are being read, or wait for their callers, within a limit for all of them. */

/** What a response holds memory for. */
export const HeldFor = { Response: 'response', UnfinishedEvent: 'unfinished-event' } as const;
export type HeldFor = (typeof HeldFor)[keyof typeof HeldFor];

/** Memory in bytes. */
export interface ResponseMemory {
  /** Opens the account of a response. */
  open(options: MemoryAccountOptions): MemoryAccount;
  heldBytes(heldFor: HeldFor): number;
}

/** Options of an account. */
export interface MemoryAccountOptions {
  heldFor: HeldFor;
  /** The response states its length, so it isn't without end. */
  hasStatedLength: boolean;
  /** Called at most once, if the response must leave its memory to others. */
  onGivenUp: () => void;
}

/** Memory of one response. */
export interface MemoryAccount {
  /** States what the response holds now. Gives up responses if that is too much, maybe this one. */
  resize(bytes: number): void;
  /** The response is complete, and isn't given up any more. */
  keep(): void;
  /** The response holds nothing any more. */
  close(): void;
}

/** Size of a response above which it counts as large. */
const MAX_ORDINARY_BYTES = 64 * 1024;
/** Part of the memory that large responses may use up; the rest is always left to ordinary ones. */
const LARGE_FRACTION = 0.9;

interface Holder extends MemoryAccountOptions {
  bytes: number;
}

/** Returns which responses are given up first: large ones that may be without end, then other large ones, and ordinary ones last. */
function rankOf({ bytes, hasStatedLength }: Holder): number {
  if (bytes <= MAX_ORDINARY_BYTES) return 0;
  return hasStatedLength ? 1 : 2;
}

/** Returns whether a response is given up before another one. */
function isLessUrgent(holder: Holder, other: Holder): boolean {
  const [rank, otherRank] = [rankOf(holder), rankOf(other)];
  return rank === otherRank ? holder.bytes > other.bytes : rank > otherRank;
}

/** Creates a memory of which nothing is used. */
export function createResponseMemory(maxBytes: number): ResponseMemory {
  const maxLargeBytes = maxBytes * LARGE_FRACTION;
  /** Responses that can be given up. */
  const unfinished = new Set<Holder>();
  const heldBytes: Record<HeldFor, number> = {
    [HeldFor.Response]: 0,
    [HeldFor.UnfinishedEvent]: 0,
  };
  let largeBytes = 0;
  const isOver = (): boolean =>
    heldBytes[HeldFor.Response] + heldBytes[HeldFor.UnfinishedEvent] > maxBytes ||
    largeBytes > maxLargeBytes;

  function setBytes(holder: Holder, bytes: number): void {
    const countLarge = (size: number): number => (size > MAX_ORDINARY_BYTES ? size : 0);
    heldBytes[holder.heldFor] += bytes - holder.bytes;
    largeBytes += countLarge(bytes) - countLarge(holder.bytes);
    Object.assign(holder, { bytes });
  }

  function giveUpLeastUrgent(): void {
    let first: Holder | undefined;
    unfinished.forEach((holder) => {
      if (holder.bytes > 0 && (first === undefined || isLessUrgent(holder, first))) first = holder;
    });
    if (first === undefined) return;
    unfinished.delete(first);
    setBytes(first, 0);
    first.onGivenUp();
  }

  return {
    heldBytes: (heldFor) => heldBytes[heldFor],
    open(options) {
      const holder: Holder = { ...options, bytes: 0 };
      const isOpen = (): boolean => unfinished.has(holder);
      unfinished.add(holder);
      return {
        resize(bytes) {
          if (!isOpen()) return;
          const isIncrease = bytes > holder.bytes;
          setBytes(holder, bytes);
          // This response can be given up as well, so the loop ends.
          while (isIncrease && isOver() && isOpen()) giveUpLeastUrgent();
        },
        keep() {
          unfinished.delete(holder);
        },
        close() {
          unfinished.delete(holder);
          setBytes(holder, 0);
        },
      };
    },
  };
}
