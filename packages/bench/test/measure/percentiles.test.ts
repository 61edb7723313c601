import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { fitLine, measurePercentiles } from '../../src/measure/index.js';

test('percentiles match those of the sorted values to three significant digits', () => {
  const timesArbitrary = fc.array(fc.integer({ min: 1, max: 100_000_000 }), { minLength: 1 });
  fc.assert(
    fc.property(timesArbitrary, (timesUs) => {
      const measured = measurePercentiles(timesUs.map((us) => us / 1000));
      const sorted = [...timesUs].sort((a, b) => a - b);
      const valueAt = (fraction: number) =>
        (sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)] as number) / 1000;
      assert.ok(measured !== null);
      const pairs = [
        [measured.p50, valueAt(0.5)],
        [measured.p95, valueAt(0.95)],
        [measured.p99, valueAt(0.99)],
        [measured.max, valueAt(1)],
      ] as [number, number][];
      pairs.forEach(([actual, expected]) =>
        assert.ok(Math.abs(actual - expected) <= expected * 0.002 + 0.001),
      );
    }),
    { seed: 13, numRuns: 200 },
  );
});

test('returns null for an empty list', () => {
  assert.equal(measurePercentiles([]), null);
});

test('fitting collinear points returns their line', () => {
  const points = [3, 6, 24, 60].map((x) => ({ x, y: 7 + 0.5 * x }));
  const { slope, intercept } = fitLine(points);
  assert.ok(Math.abs(slope - 0.5) < 1e-9);
  assert.ok(Math.abs(intercept - 7) < 1e-9);
});
