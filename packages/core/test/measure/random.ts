/** Seeded random number generator for measurements. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

export interface Random {
  /** Returns a uniformly distributed number in [0, 1). */
  next: () => number;
  /** Returns a uniformly distributed integer in [0, `limit`). */
  nextInt: (limit: number) => number;
}

const RANGE = 2 ** 30;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = () => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
  return { next, nextInt: (limit) => Math.floor(next() * limit) };
}

/** Returns a generator of ranks in [0, `count`) with probabilities proportional to `1 / (rank + 1) ** skew` (Zipf distribution). */
export function createZipf(random: Random, count: number, skew: number): () => number {
  const sums: number[] = [];
  let sum = 0;
  for (let rank = 0; rank < count; rank++) {
    sum += 1 / (rank + 1) ** skew;
    sums.push(sum);
  }
  return () => {
    const target = random.next() * sum;
    let low = 0;
    let high = count - 1;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((sums[middle] as number) < target) low = middle + 1;
      else high = middle;
    }
    return low;
  };
}
