/** Memory of the responses that are being read, or wait for their callers, within a limit for all of them. */

/** What a response holds memory for. */
export const HeldFor = { Response: 'response', UnfinishedEvent: 'unfinished-event' } as const;
export type HeldFor = (typeof HeldFor)[keyof typeof HeldFor];

/** Memory in bytes. */
export interface ResponseMemory {
  /** Opens the account of a response. `onGivenUp` is called at most once, if the response must leave its memory to others. */
  open(heldFor: HeldFor, onGivenUp: () => void): MemoryAccount;
  heldBytes(heldFor: HeldFor): number;
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

interface Holder {
  heldFor: HeldFor;
  bytes: number;
  onGivenUp: () => void;
}

/** Creates a memory of which nothing is used. The response that holds most is given up first, so that ordinary ones last longest. */
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

  function giveUpLargest(): void {
    let largest: Holder | undefined;
    unfinished.forEach((holder) => {
      if (holder.bytes > (largest?.bytes ?? 0)) largest = holder;
    });
    if (largest === undefined) return;
    unfinished.delete(largest);
    setBytes(largest, 0);
    largest.onGivenUp();
  }

  return {
    heldBytes: (heldFor) => heldBytes[heldFor],
    open(heldFor, onGivenUp) {
      const holder: Holder = { heldFor, bytes: 0, onGivenUp };
      const isOpen = (): boolean => unfinished.has(holder);
      unfinished.add(holder);
      return {
        resize(bytes) {
          if (!isOpen()) return;
          const isIncrease = bytes > holder.bytes;
          setBytes(holder, bytes);
          // This response can be given up as well, so the loop ends.
          while (isIncrease && isOver() && isOpen()) giveUpLargest();
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
