/** Monotonic clock, unaffected by changes of the wall clock. Used everywhere except for the time of log lines. */
import { performance } from 'node:perf_hooks';

/** Returns the milliseconds since an arbitrary origin; never decreases. */
export type Clock = () => number;

/** Creates a clock whose origin is the start of the process. */
export function createMonotonicClock(): Clock {
  return () => performance.now();
}
