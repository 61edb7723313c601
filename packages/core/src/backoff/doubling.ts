/** Pauses between attempts that fail. */

/** Bounds of the pause, in milliseconds. */
export interface DoublingBounds {
  firstMs: number;
  longestMs: number;
}

/** Pause after a number of earlier failures in a row: the first one, doubled for each of them, up to the longest. */
export function doublingMs(earlierFailures: number, bounds: DoublingBounds): number {
  return Math.min(bounds.longestMs, bounds.firstMs * 2 ** earlierFailures);
}
