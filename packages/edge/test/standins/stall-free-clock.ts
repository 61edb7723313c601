/** Clock that doesn't count the time for which a test's process was stalled beside other load, so that no decision depends on it. */
import type { Clock } from '@kingcupsill/runtime';

/** Longest time that passes between two readings. A deployment reads its clock several times as often. */
const MAX_STEP_MS = 200;

/** Creates a clock that follows `source`. */
export function createStallFreeClock(source: Clock = () => performance.now()): Clock {
  let readAtMs = source();
  let nowMs = readAtMs;
  return () => {
    const sourceMs = source();
    nowMs += Math.min(sourceMs - readAtMs, MAX_STEP_MS);
    readAtMs = sourceMs;
    return nowMs;
  };
}
