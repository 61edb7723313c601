/** Utilisation: fraction of the slots that are busy while permitted requests wait. */
import { uniteIntervals } from './intervals.js';
import { createServiceCurve, totalAt } from './service-curve.js';
import type { WeightedInterval } from './service-curve.js';
import type { Interval } from './types.js';

/** Input of the utilisation of one pool. */
export interface UtilisationInput {
  /** Intervals in which a run occupies a slot of the pool. */
  runs: readonly Interval[];
  /** Intervals in which a request waits for a slot of the pool. */
  waits: readonly Interval[];
  /** Intervals in which backend servers of the pool are available, with their numbers of slots. */
  capacity: readonly WeightedInterval[];
  /** Transit time of a request to a slot, in milliseconds, before it counts as waiting. @default 0 */
  transitMs?: number;
}

/** Busy and available slot time while requests wait, in seconds. */
export interface Utilisation {
  busySlotSeconds: number;
  slotSeconds: number;
}

const MS_PER_SECOND = 1000;

/** Measures the slot time while requests wait; both values are 0 if none ever waits. */
export function measureUtilisation(input: UtilisationInput): Utilisation {
  const { runs, waits, capacity, transitMs = 0 } = input;
  const waiting = uniteIntervals(
    waits.map(({ startMs, endMs }) => ({ startMs: startMs + transitMs, endMs })),
  );
  const slotTimeWhileWaiting = (intervals: readonly WeightedInterval[]) => {
    const curve = createServiceCurve(intervals);
    return waiting.reduce(
      (sum, { startMs, endMs }) => sum + totalAt(curve, endMs) - totalAt(curve, startMs),
      0,
    );
  };
  return {
    busySlotSeconds: slotTimeWhileWaiting(runs) / MS_PER_SECOND,
    slotSeconds: slotTimeWhileWaiting(capacity) / MS_PER_SECOND,
  };
}
