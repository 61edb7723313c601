/** Sum over a sliding window, in buckets. */

/** A sum of what was added within the window. */
export interface SlidingSum {
  add(nowMs: number, amount: number): void;
  total(nowMs: number): number;
}

const BUCKETS = 10;

/** Creates a sum over `windowMs`; what is older leaves in steps of a tenth of the window. */
export function createSlidingSum(windowMs: number): SlidingSum {
  const bucketMs = windowMs / BUCKETS;
  const amounts = new Array<number>(BUCKETS + 1).fill(0);
  let newest = Number.NEGATIVE_INFINITY;
  let sum = 0;

  function advance(nowMs: number): number {
    const bucket = Math.floor(nowMs / bucketMs);
    if (bucket - newest > BUCKETS) {
      amounts.fill(0);
      sum = 0;
    } else {
      for (let next = newest + 1; next <= bucket; next += 1) {
        const index = next % amounts.length;
        sum -= amounts[index]!;
        amounts[index] = 0;
      }
    }
    newest = Math.max(newest, bucket);
    return newest % amounts.length;
  }

  return {
    add(nowMs, amount) {
      const index = advance(nowMs);
      amounts[index]! += amount;
      sum += amount;
    },
    total(nowMs) {
      advance(nowMs);
      return sum;
    },
  };
}
