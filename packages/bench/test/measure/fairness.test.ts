import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { measureFairnessGap } from '../../src/measure/index.js';
import type { FairnessInput, SlotInterval } from '../../src/measure/index.js';

const END_MS = 24;
const SHARES = { a: 1, b: 2, c: 0.5 };

/** Times are whole, so every extreme lies on a whole millisecond. */
const intervals = fc.array(
  fc
    .tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(END_MS), fc.nat(END_MS))
    .map(([account, x, y]) => ({ account, startMs: Math.min(x, y), endMs: Math.max(x, y) })),
  { maxLength: 12 },
);

const isBacklogged = (waits: readonly SlotInterval[], account: string, ms: number) =>
  waits.some((one) => one.account === account && one.startMs <= ms && ms + 1 <= one.endMs);

function serviceMs(runs: readonly SlotInterval[], account: string, from: number, to: number) {
  return runs
    .filter((one) => one.account === account)
    .map(({ startMs, endMs }) => Math.max(0, Math.min(to, endMs) - Math.max(from, startMs)))
    .reduce((sum, ms) => sum + ms, 0);
}

/** Every interval of whole milliseconds, every pair. */
function naiveGapSeconds({ runs, waits, shares }: FairnessInput): number {
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

test('the gap equals the largest over every interval and pair', () => {
  fc.assert(
    fc.property(intervals, intervals, (runs, waits) => {
      const input = { runs, waits, shares: SHARES };
      const { slotSeconds } = measureFairnessGap(input);
      assert.ok(Math.abs(slotSeconds - naiveGapSeconds(input)) < 1e-9);
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('the gap names the pair and the time', () => {
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
