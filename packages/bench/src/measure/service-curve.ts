/** Cumulative slot time as a piecewise linear function of the time. */
import type { Interval } from './types.js';

/** Slot milliseconds used up to each breakpoint; linear between breakpoints, constant outside. */
export interface ServiceCurve {
  timesMs: number[];
  totalsMs: number[];
}

/** An interval that uses several slots. */
export interface WeightedInterval extends Interval {
  /** Slots in use. @default 1 */
  slots?: number;
}

interface Step {
  atMs: number;
  change: number;
}

/** Curve of all the intervals together. O(n log n). */
export function createServiceCurve(intervals: readonly WeightedInterval[]): ServiceCurve {
  const steps = intervals
    .flatMap(({ startMs, endMs, slots = 1 }): Step[] => [
      { atMs: startMs, change: slots },
      { atMs: endMs, change: -slots },
    ])
    .sort((a, b) => a.atMs - b.atMs);
  const curve: ServiceCurve = { timesMs: [], totalsMs: [] };
  let busy = 0;
  let total = 0;
  let lastMs = steps[0]?.atMs ?? 0;
  steps.forEach(({ atMs, change }) => {
    total += busy * (atMs - lastMs);
    busy += change;
    lastMs = atMs;
    if (curve.timesMs.at(-1) === atMs) return;
    curve.timesMs.push(atMs);
    curve.totalsMs.push(total);
  });
  return curve;
}

/** Number of breakpoints at or before a time. */
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

/** Slot milliseconds used up to a time. */
export function totalAt(curve: ServiceCurve, atMs: number): number {
  const { timesMs, totalsMs } = curve;
  const next = countBreakpoints(curve, atMs);
  if (next === 0) return 0;
  const before = totalsMs[next - 1] as number;
  if (next === timesMs.length) return before;
  const fromMs = timesMs[next - 1] as number;
  const slope = ((totalsMs[next] as number) - before) / ((timesMs[next] as number) - fromMs);
  return before + slope * (atMs - fromMs);
}

/** Breakpoints strictly inside an interval. */
export function breakpointsInside(curve: ServiceCurve, { startMs, endMs }: Interval): number[] {
  const from = countBreakpoints(curve, startMs);
  const inside: number[] = [];
  for (let i = from; i < curve.timesMs.length && (curve.timesMs[i] as number) < endMs; i++) {
    inside.push(curve.timesMs[i] as number);
  }
  return inside;
}
