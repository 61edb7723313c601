/** Pauses between attempts that fail. */

/** Bounds of the pause, in milliseconds. */
export interface BackoffBounds {
  initialMs: number;
  maxMs: number;
}

/** Pause after a number of earlier failures in a row: the first one, doubled for each of them, up to the longest. */
export function exponentialBackoffMs(earlierFailures: number, bounds: BackoffBounds): number {
  return Math.min(bounds.maxMs, bounds.initialMs * 2 ** earlierFailures);
}
