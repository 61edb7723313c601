/** Unions and intersections of time intervals. */
import type { Interval } from './types.js';

/** Union of intervals as disjoint ones in order. Intervals that touch are joined; empty ones vanish. */
export function uniteIntervals(intervals: readonly Interval[]): Interval[] {
  const sorted = intervals
    .filter((one) => one.endMs > one.startMs)
    .sort((a, b) => a.startMs - b.startMs);
  const united: Interval[] = [];
  sorted.forEach(({ startMs, endMs }) => {
    const last = united.at(-1);
    if (last !== undefined && startMs <= last.endMs) last.endMs = Math.max(last.endMs, endMs);
    else united.push({ startMs, endMs });
  });
  return united;
}

/** Intersection of two unions, each disjoint and in order. */
export function intersectIntervals(
  left: readonly Interval[],
  right: readonly Interval[],
): Interval[] {
  const shared: Interval[] = [];
  let i = 0;
  let j = 0;
  while (i < left.length && j < right.length) {
    const a = left[i] as Interval;
    const b = right[j] as Interval;
    const startMs = Math.max(a.startMs, b.startMs);
    const endMs = Math.min(a.endMs, b.endMs);
    if (startMs < endMs) shared.push({ startMs, endMs });
    if (a.endMs < b.endMs) i += 1;
    else j += 1;
  }
  return shared;
}
