/**
 * Measures how evenly accounts are assigned to home routers by hashing to fixed buckets, compared with range boundaries at the
 * quantiles of a sample (Frieder 1990). The load is the number of entries that a home router forwards: one per account that
 * changed in a period.
 */
import { accountBucket, createHasher, rendezvousPick } from '../../src/index.js';
import { numericOptions } from './options.js';
import { createRandom, createZipf } from './random.js';

const { homes, accounts, sample, periods, requests, seed } = numericOptions({
  homes: 55,
  accounts: 4000,
  sample: 10_000,
  periods: 200,
  /** Number of requests in the zone per period. */
  requests: 600,
  seed: 1,
});

const hasher = await createHasher();
const homeNames = Array.from({ length: homes }, (_, index) => `router-${index}`);

function assignByHash(buckets: number): number[] {
  const homeByBucket = Array.from({ length: buckets }, (_, bucket) =>
    homeNames.indexOf(rendezvousPick(hasher, String(bucket), homeNames) as string),
  );
  return Array.from(
    { length: accounts },
    (_, account) => homeByBucket[accountBucket(hasher, `account-${account}`, buckets)] as number,
  );
}

/** Assigns accounts by range boundaries at the quantiles of the sampled account numbers. */
function assignByQuantiles(samples: number[]): number[] {
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

/** Returns the ratio of the highest load of a home router to the mean load. */
function imbalance(homeByAccount: number[], load: number[]): string {
  const loads = new Array<number>(homes).fill(0);
  load.forEach((amount, account) => {
    const home = homeByAccount[account] as number;
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
    const accountsInPeriod = Array.from({ length: requests }, draw);
    accountsInPeriod.forEach((account) => {
      requestLoad[account] = (requestLoad[account] as number) + 1;
    });
    new Set(accountsInPeriod).forEach((account) => {
      entryLoad[account] = (entryLoad[account] as number) + 1;
    });
  }
  const assignments: [string, number[]][] = [
    ['256 hashed buckets', assignByHash(256)],
    ['1024 hashed buckets', assignByHash(1024)],
    ['4096 hashed buckets', assignByHash(4096)],
    [`quantiles of ${sample} requests`, assignByQuantiles(samples)],
    [
      `quantiles of ${new Set(samples).size} accounts seen`,
      assignByQuantiles([...new Set(samples)]),
    ],
  ];
  assignments.forEach(([name, homeByAccount]) => {
    const cells = [
      skew,
      name,
      imbalance(homeByAccount, entryLoad),
      imbalance(homeByAccount, requestLoad),
    ];
    process.stdout.write(`| ${cells.join(' | ')} |\n`);
  });
});
