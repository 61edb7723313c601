/** Part of the slots that is busy while any permitted work waits. */
import { uniteIntervals } from './intervals.js';
import { createServiceCurve, totalAt } from './service-curve.js';
import type { WeightedInterval } from './service-curve.js';
import type { Interval } from './types.js';

/** What the utilisation of one pool is computed from. */
export interface UtilisationInput {
  /** Runs in the pool. */
  runs: readonly Interval[];
  /** Times in which a request waits for the pool. */
  waits: readonly Interval[];
  /** Times in which backend servers of the pool are there, with their slots. */
  capacity: readonly WeightedInterval[];
  /** Time that a request may take on its way to a slot before it counts as waiting. @default 0 */
  transitMs?: number;
}

/** Busy and available slot time while work waits. */
export interface Utilisation {
  busySlotSeconds: number;
  slotSeconds: number;
}

const MS_PER_SECOND = 1000;

/** Slot time while work waits; both are 0 when nothing ever waits. */
export function measureUtilisation(input: UtilisationInput): Utilisation {
  const { runs, waits, capacity, transitMs = 0 } = input;
  const waiting = uniteIntervals(
    waits.map(({ startMs, endMs }) => ({ startMs: startMs + transitMs, endMs })),
  );
  const timeIn = (intervals: readonly WeightedInterval[]) => {
    const curve = createServiceCurve(intervals);
    return waiting.reduce(
      (sum, { startMs, endMs }) => sum + totalAt(curve, endMs) - totalAt(curve, startMs),
      0,
    );
  };
  return {
    busySlotSeconds: timeIn(runs) / MS_PER_SECOND,
    slotSeconds: timeIn(capacity) / MS_PER_SECOND,
  };
}
