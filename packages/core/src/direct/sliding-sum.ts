/** Sum over a sliding time window, approximated with buckets. */

/** Sum of the amounts added within the window. */
export interface SlidingSum {
  add(nowMs: number, amount: number): void;
  total(nowMs: number): number;
}

const BUCKETS = 10;

/** Creates a sum over `windowMs`; amounts expire in steps of a tenth of the window and are counted for up to one step longer. */
export function createSlidingSum(windowMs: number): SlidingSum {
  const bucketMs = windowMs / BUCKETS;
  const amounts = new Array<number>(BUCKETS + 1).fill(0);
  let newestBucket = Number.NEGATIVE_INFINITY;
  let sum = 0;

  function advance(nowMs: number): number {
    const bucket = Math.floor(nowMs / bucketMs);
    if (bucket - newestBucket > BUCKETS) {
      amounts.fill(0);
      sum = 0;
    } else {
      for (let next = newestBucket + 1; next <= bucket; next += 1) {
        const index = next % amounts.length;
        sum -= amounts[index]!;
        amounts[index] = 0;
      }
    }
    newestBucket = Math.max(newestBucket, bucket);
    return newestBucket % amounts.length;
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
