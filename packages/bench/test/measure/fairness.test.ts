import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { measureFairnessGap } from '../../src/measure/index.js';
import type { FairnessInput, SlotInterval } from '../../src/measure/index.js';

const END_MS = 24;
const SHARES = { a: 1, b: 2, c: 0.5 };

/** Integer times, so that every extreme lies on an integer millisecond. */
const intervals = fc.array(
  fc
    .tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(END_MS), fc.nat(END_MS))
    .map(([account, x, y]) => ({ account, startMs: Math.min(x, y), endMs: Math.max(x, y) })),
  { maxLength: 12 },
);

const isBacklogged = (waits: readonly SlotInterval[], account: string, ms: number) =>
  waits.some((wait) => wait.account === account && wait.startMs <= ms && ms + 1 <= wait.endMs);

function serviceMs(runs: readonly SlotInterval[], account: string, from: number, to: number) {
  return runs
    .filter((run) => run.account === account)
    .map(({ startMs, endMs }) => Math.max(0, Math.min(to, endMs) - Math.max(from, startMs)))
    .reduce((sum, ms) => sum + ms, 0);
}

/** Reference implementation: tries every interval of integer milliseconds and every pair of accounts. */
function bruteForceGapSeconds({ runs, waits, shares }: FairnessInput): number {
  const accounts = Object.keys(shares);
  let largest = 0;
  for (let from = 0; from < END_MS; from++) {
    for (const i of accounts) {
      for (const j of accounts) {
        for (let to = from + 1; to <= END_MS; to++) {
          if (!isBacklogged(waits, i, to - 1) || !isBacklogged(waits, j, to - 1)) break;
          const normalised = (account: string) =>
            serviceMs(runs, account, from, to) / (shares[account] as number);
          largest = Math.max(largest, Math.abs(normalised(i) - normalised(j)));
        }
      }
    }
  }
  return largest / 1000;
}

test('the gap equals the maximum over all intervals and pairs of accounts', () => {
  fc.assert(
    fc.property(intervals, intervals, (runs, waits) => {
      const input = { runs, waits, shares: SHARES };
      const { slotSeconds } = measureFairnessGap(input);
      assert.ok(Math.abs(slotSeconds - bruteForceGapSeconds(input)) < 1e-9);
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('the result contains the pair of accounts and the interval of the gap', () => {
  const waits = ['a', 'b'].map((account) => ({ account, startMs: 0, endMs: 10_000 }));
  const runs = [
    { account: 'b', startMs: 0, endMs: 2000 },
    { account: 'a', startMs: 2000, endMs: 5000 },
  ];
  assert.deepEqual(measureFairnessGap({ runs, waits, shares: { a: 1, b: 1 } }), {
    slotSeconds: 3,
    accounts: ['a', 'b'],
    startMs: 2000,
    endMs: 5000,
  });
});
