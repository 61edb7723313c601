/** Unions and intersections of time intervals. */
import type { Interval } from './types.js';

/** Returns the union as sorted, disjoint intervals; adjacent intervals are merged and empty ones dropped. */
export function uniteIntervals(intervals: readonly Interval[]): Interval[] {
  const sorted = intervals
    .filter((interval) => interval.endMs > interval.startMs)
    .sort((a, b) => a.startMs - b.startMs);
  const union: Interval[] = [];
  sorted.forEach(({ startMs, endMs }) => {
    const last = union.at(-1);
    if (last !== undefined && startMs <= last.endMs) last.endMs = Math.max(last.endMs, endMs);
    else union.push({ startMs, endMs });
  });
  return union;
}

/** Returns the intersection of two lists of sorted, disjoint intervals. */
export function intersectIntervals(
  left: readonly Interval[],
  right: readonly Interval[],
): Interval[] {
  const intersection: Interval[] = [];
  let i = 0;
  let j = 0;
  while (i < left.length && j < right.length) {
    const a = left[i] as Interval;
    const b = right[j] as Interval;
    const startMs = Math.max(a.startMs, b.startMs);
    const endMs = Math.min(a.endMs, b.endMs);
    if (startMs < endMs) intersection.push({ startMs, endMs });
    if (a.endMs < b.endMs) i += 1;
    else j += 1;
  }
  return intersection;
}
