/** Seeded random numbers of the load. */
import prand from 'pure-rand';

/** A source of numbers in [0, 1). */
export type Random = () => number;

const RANGE = 2 ** 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Seed of a named stream, so that one stream's draws don't shift another's. */
function mixSeed(seed: number, stream: string): number {
  return [...stream].reduce(
    // eslint-disable-next-line no-bitwise -- FNV-1a works on bits.
    (hash, char) => Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME),
    // eslint-disable-next-line no-bitwise -- FNV-1a works on bits.
    FNV_OFFSET ^ seed,
  );
}

/** Random numbers of one named stream of a seed. */
export function createRandom(seed: number, stream: string): Random {
  const generator = prand.xoroshiro128plus(mixSeed(seed, stream));
  return () => prand.unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
}

/** Draws from the exponential distribution. */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/** Draws from the normal distribution of mean 0 and deviation 1 (Box-Muller). */
export function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
