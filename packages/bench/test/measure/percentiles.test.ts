import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { fitLine, measurePercentiles } from '../../src/measure/index.js';

test('percentiles agree with sorting to three digits', () => {
  const times = fc.array(fc.integer({ min: 1, max: 100_000_000 }), { minLength: 1 });
  fc.assert(
    fc.property(times, (timesUs) => {
      const measured = measurePercentiles(timesUs.map((us) => us / 1000));
      const sorted = [...timesUs].sort((a, b) => a - b);
      const at = (part: number) =>
        (sorted[Math.max(0, Math.ceil(part * sorted.length) - 1)] as number) / 1000;
      assert.ok(measured !== null);
      const pairs = [
        [measured.p50, at(0.5)],
        [measured.p95, at(0.95)],
        [measured.p99, at(0.99)],
        [measured.max, at(1)],
      ] as [number, number][];
      pairs.forEach(([got, want]) => assert.ok(Math.abs(got - want) <= want * 0.002 + 0.001));
    }),
    { seed: 13, numRuns: 200 },
  );
});

test('no times have no percentiles', () => {
  assert.equal(measurePercentiles([]), null);
});

test('a line through points on a line is that line', () => {
  const points = [3, 6, 24, 60].map((x) => ({ x, y: 7 + 0.5 * x }));
  const { slope, intercept } = fitLine(points);
  assert.ok(Math.abs(slope - 0.5) < 1e-9);
  assert.ok(Math.abs(intercept - 7) < 1e-9);
});
