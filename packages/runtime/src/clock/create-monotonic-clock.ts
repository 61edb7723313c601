/** Clock for everything but log lines; it never jumps when the wall clock is set. */
import { performance } from 'node:perf_hooks';

/** Milliseconds since an arbitrary start, never falling. */
export type Clock = () => number;

/** Creates a clock that counts from the start of the process. */
export function createMonotonicClock(): Clock {
  return () => performance.now();
}
