/**
 * Measures how evenly accounts fall to homes: plain hashing to fixed buckets, against range boundaries at the quantiles of a
 * sample (Frieder 1990). Load is the entries a home has to pass on: one per account that changed in a period.
 */
import { accountBucket, createHasher, rendezvousPick } from '../../src/index.js';
import { numericOptions } from './options.js';
import { createRandom, createZipf } from './random.js';

const { homes, accounts, sample, periods, requests, seed } = numericOptions({
  homes: 55,
  accounts: 4000,
  sample: 10_000,
  periods: 200,
  /** Requests of the zone in a period. */
  requests: 600,
  seed: 1,
});

const hasher = await createHasher();
const homeNames = Array.from({ length: homes }, (_, index) => `router-${index}`);

function hashedHomes(buckets: number): number[] {
  const byBucket = Array.from({ length: buckets }, (_, bucket) =>
    homeNames.indexOf(rendezvousPick(hasher, String(bucket), homeNames) as string),
  );
  return Array.from(
    { length: accounts },
    (_, account) => byBucket[accountBucket(hasher, `account-${account}`, buckets)] as number,
  );
}

/** Boundaries at the quantiles of the sampled account numbers, after sorting. */
function sampledHomes(samples: number[]): number[] {
  const sorted = [...samples].sort((a, b) => a - b);
  const boundaries = Array.from(
    { length: homes - 1 },
    (_, i) => sorted[Math.floor(((i + 1) * sorted.length) / homes)] as number,
  );
  return Array.from(
    { length: accounts },
    (_, account) => boundaries.filter((boundary) => account > boundary).length,
  );
}

/** Largest load of a home over the mean. */
function imbalance(homeOf: number[], load: number[]): string {
  const loads = new Array<number>(homes).fill(0);
  load.forEach((amount, account) => {
    const home = homeOf[account] as number;
    loads[home] = (loads[home] as number) + amount;
  });
  const mean = loads.reduce((sum, value) => sum + value, 0) / homes;
  return (Math.max(...loads) / mean).toFixed(2);
}

process.stdout.write('| skew | assignment | most entries / mean | most requests / mean |\n');
process.stdout.write('| --- | --- | --- | --- |\n');
[0, 0.8, 1.1, 1.4].forEach((skew) => {
  const random = createRandom(seed);
  const draw = createZipf(random, accounts, skew);
  const samples = Array.from({ length: sample }, draw);
  const requestLoad = new Array<number>(accounts).fill(0);
  const entryLoad = new Array<number>(accounts).fill(0);
  for (let period = 0; period < periods; period++) {
    const drawn = Array.from({ length: requests }, draw);
    drawn.forEach((account) => {
      requestLoad[account] = (requestLoad[account] as number) + 1;
    });
    new Set(drawn).forEach((account) => {
      entryLoad[account] = (entryLoad[account] as number) + 1;
    });
  }
  const assignments: [string, number[]][] = [
    ['256 hashed buckets', hashedHomes(256)],
    ['1024 hashed buckets', hashedHomes(1024)],
    ['4096 hashed buckets', hashedHomes(4096)],
    [`quantiles of ${sample} requests`, sampledHomes(samples)],
    [`quantiles of ${new Set(samples).size} accounts seen`, sampledHomes([...new Set(samples)])],
  ];
  assignments.forEach(([name, homeOf]) => {
    const cells = [skew, name, imbalance(homeOf, entryLoad), imbalance(homeOf, requestLoad)];
    process.stdout.write(`| ${cells.join(' | ')} |\n`);
  });
});
