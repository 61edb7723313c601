/** Percentiles of times in milliseconds. */
import { build } from 'hdr-histogram-js';

const HIGHEST_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;
const US_PER_MS = 1000;

/** Percentiles of one set of times, in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Percentiles to three significant digits, or null of no values. */
export function measurePercentiles(timesMs: readonly number[]): Percentiles | null {
  if (timesMs.length === 0) return null;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  timesMs.forEach((ms) => histogram.recordValue(Math.max(0, Math.round(ms * US_PER_MS))));
  const at = (percent: number) => histogram.getValueAtPercentile(percent) / US_PER_MS;
  const percentiles = {
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: histogram.maxValue / US_PER_MS,
  };
  histogram.destroy();
  return percentiles;
}
