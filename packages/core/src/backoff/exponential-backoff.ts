/** Exponential backoff between failed attempts. */

/** Bounds of the backoff delay. */
export interface BackoffBounds {
  /** Delay without earlier failures. */
  initialMs: number;
  /** Maximum delay. */
  maxMs: number;
}

/** Returns the delay in milliseconds: `initialMs`, doubled for each earlier consecutive failure, up to `maxMs`. */
export function exponentialBackoffMs(earlierFailures: number, bounds: BackoffBounds): number {
  return Math.min(bounds.maxMs, bounds.initialMs * 2 ** earlierFailures);
}
