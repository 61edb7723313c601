/** Seeded random numbers and distributions for load generation. */
import prand from 'pure-rand';

/** Returns uniformly distributed numbers in [0, 1). */
export type Random = () => number;

const RANGE = 2 ** 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Derives the seed of a named stream, so that draws from one stream don't affect another. */
function mixSeed(seed: number, stream: string): number {
  return [...stream].reduce(
    // eslint-disable-next-line no-bitwise -- FNV-1a works on bits.
    (hash, char) => Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME),
    // eslint-disable-next-line no-bitwise -- FNV-1a works on bits.
    FNV_OFFSET ^ seed,
  );
}

/** Creates the generator of a named stream of a seed. */
export function createRandom(seed: number, stream: string): Random {
  const generator = prand.xoroshiro128plus(mixSeed(seed, stream));
  return () => prand.unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
}

/** Draws from an exponential distribution with the given mean. */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/** Draws from the standard normal distribution (Box-Muller transform). */
export function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
