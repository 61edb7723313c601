/** Cumulative slot time as a piecewise linear function of time. */
import type { Interval } from './types.js';

/** Cumulative slot milliseconds at each breakpoint; linear between breakpoints, constant outside of them. */
export interface ServiceCurve {
  timesMs: number[];
  totalsMs: number[];
}

/** Interval with a number of slots. */
export interface WeightedInterval extends Interval {
  /** Number of slots. @default 1 */
  slots?: number;
}

/** Change of the number of slots at a point in time. */
interface SlotChange {
  atMs: number;
  change: number;
}

/** Builds the curve of the slot time of all intervals together. O(n log n). */
export function createServiceCurve(intervals: readonly WeightedInterval[]): ServiceCurve {
  const changes = intervals
    .flatMap(({ startMs, endMs, slots = 1 }): SlotChange[] => [
      { atMs: startMs, change: slots },
      { atMs: endMs, change: -slots },
    ])
    .sort((a, b) => a.atMs - b.atMs);
  const curve: ServiceCurve = { timesMs: [], totalsMs: [] };
  let slotsInUse = 0;
  let totalMs = 0;
  let lastMs = changes[0]?.atMs ?? 0;
  changes.forEach(({ atMs, change }) => {
    totalMs += slotsInUse * (atMs - lastMs);
    slotsInUse += change;
    lastMs = atMs;
    if (curve.timesMs.at(-1) === atMs) return;
    curve.timesMs.push(atMs);
    curve.totalsMs.push(totalMs);
  });
  return curve;
}

/** Counts the breakpoints at or before a time, by binary search. */
export function countBreakpoints({ timesMs }: ServiceCurve, atMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((timesMs[middle] as number) <= atMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Returns the cumulative slot milliseconds at a time. */
export function totalAt(curve: ServiceCurve, atMs: number): number {
  const { timesMs, totalsMs } = curve;
  const nextIndex = countBreakpoints(curve, atMs);
  if (nextIndex === 0) return 0;
  const totalBefore = totalsMs[nextIndex - 1] as number;
  if (nextIndex === timesMs.length) return totalBefore;
  const fromMs = timesMs[nextIndex - 1] as number;
  const slope =
    ((totalsMs[nextIndex] as number) - totalBefore) / ((timesMs[nextIndex] as number) - fromMs);
  return totalBefore + slope * (atMs - fromMs);
}

/** Returns the times of the breakpoints strictly inside an interval. */
export function breakpointsInside(curve: ServiceCurve, { startMs, endMs }: Interval): number[] {
  const firstIndex = countBreakpoints(curve, startMs);
  const inside: number[] = [];
  for (let i = firstIndex; i < curve.timesMs.length && (curve.timesMs[i] as number) < endMs; i++) {
    inside.push(curve.timesMs[i] as number);
  }
  return inside;
}
