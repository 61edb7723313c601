/** Percentiles of durations, computed with an HDR histogram in microseconds. */
import { build } from 'hdr-histogram-js';

const MAX_TRACKABLE_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;
const US_PER_MS = 1000;

/** Percentiles and maximum of a set of durations, in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Returns percentiles to three significant digits, or null for an empty list. */
export function measurePercentiles(durationsMs: readonly number[]): Percentiles | null {
  if (durationsMs.length === 0) return null;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKABLE_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  durationsMs.forEach((ms) => histogram.recordValue(Math.max(0, Math.round(ms * US_PER_MS))));
  const valueAt = (percent: number) => histogram.getValueAtPercentile(percent) / US_PER_MS;
  const percentiles = {
    p50: valueAt(50),
    p95: valueAt(95),
    p99: valueAt(99),
    max: histogram.maxValue / US_PER_MS,
  };
  histogram.destroy();
  return percentiles;
}
