/** Seeded random number generator. */
import prand from 'pure-rand';

/** Returns the next pseudorandom number in [0, 1). */
export type Random = () => number;

const RANGE = 0x1_0000_0000;

/** Creates a generator; the same seed yields the same sequence. */
export const createRandom = (seed: number): Random => {
  const generator = prand.xoroshiro128plus(seed);
  return () => prand.unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
};
