import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { measureUtilisation } from '../../src/measure/index.js';
import type { Interval, UtilisationInput } from '../../src/measure/index.js';

const END_MS = 40;

const intervals = fc.array(
  fc
    .tuple(fc.nat(END_MS), fc.nat(END_MS))
    .map(([x, y]) => ({ startMs: Math.min(x, y), endMs: Math.max(x, y) })),
  { maxLength: 10 },
);

const covers = ({ startMs, endMs }: Interval, ms: number) => startMs <= ms && ms + 1 <= endMs;

function naive({ runs, waits, capacity, transitMs = 0 }: UtilisationInput) {
  let busy = 0;
  let slots = 0;
  for (let ms = 0; ms < END_MS; ms++) {
    const waiting = waits.some(({ startMs, endMs }) =>
      covers({ startMs: startMs + transitMs, endMs }, ms),
    );
    if (!waiting) continue;
    busy += runs.filter((one) => covers(one, ms)).length;
    slots += capacity
      .filter((one) => covers(one, ms))
      .reduce((sum, one) => sum + (one.slots ?? 1), 0);
  }
  return { busySlotSeconds: busy / 1000, slotSeconds: slots / 1000 };
}

test('utilisation equals a count over each millisecond', () => {
  fc.assert(
    fc.property(intervals, intervals, intervals, fc.nat(5), (runs, waits, spans, transitMs) => {
      const capacity = spans.map((one, i) => ({ ...one, slots: i + 1 }));
      const input = { runs, waits, capacity, transitMs };
      const measured = measureUtilisation(input);
      const expected = naive(input);
      assert.ok(Math.abs(measured.busySlotSeconds - expected.busySlotSeconds) < 1e-9);
      assert.ok(Math.abs(measured.slotSeconds - expected.slotSeconds) < 1e-9);
    }),
    { seed: 12, numRuns: 300 },
  );
});
