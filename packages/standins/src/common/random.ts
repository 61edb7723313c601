/** Seeded random numbers. */
import prand from 'pure-rand';

/** Source of numbers in [0, 1). */
export type Random = () => number;

const RANGE = 0x1_0000_0000;

/** Seeded random numbers; the same seed gives the same sequence. */
export const createRandom = (seed: number): Random => {
  const generator = prand.xoroshiro128plus(seed);
  return () => prand.unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
};
