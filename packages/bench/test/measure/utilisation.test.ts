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

/** Returns true if an interval covers the millisecond that starts at `ms`. */
const covers = ({ startMs, endMs }: Interval, ms: number) => startMs <= ms && ms + 1 <= endMs;

/** Reference implementation: counts slots in each millisecond. */
function countPerMillisecond({ runs, waits, capacity, transitMs = 0 }: UtilisationInput) {
  let busySlots = 0;
  let availableSlots = 0;
  for (let ms = 0; ms < END_MS; ms++) {
    const waiting = waits.some(({ startMs, endMs }) =>
      covers({ startMs: startMs + transitMs, endMs }, ms),
    );
    if (!waiting) continue;
    busySlots += runs.filter((run) => covers(run, ms)).length;
    availableSlots += capacity
      .filter((interval) => covers(interval, ms))
      .reduce((sum, interval) => sum + (interval.slots ?? 1), 0);
  }
  return { busySlotSeconds: busySlots / 1000, slotSeconds: availableSlots / 1000 };
}

test('utilisation equals a count of the slots in each millisecond', () => {
  fc.assert(
    fc.property(intervals, intervals, intervals, fc.nat(5), (runs, waits, spans, transitMs) => {
      const capacity = spans.map((interval, i) => ({ ...interval, slots: i + 1 }));
      const input = { runs, waits, capacity, transitMs };
      const measured = measureUtilisation(input);
      const expected = countPerMillisecond(input);
      assert.ok(Math.abs(measured.busySlotSeconds - expected.busySlotSeconds) < 1e-9);
      assert.ok(Math.abs(measured.slotSeconds - expected.slotSeconds) < 1e-9);
    }),
    { seed: 12, numRuns: 300 },
  );
});
