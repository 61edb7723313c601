/** How late the process's one loop runs: work that waits in the kernel is as old. */
import type { Clock } from '@kingcupsill/runtime';
import type { Closable } from './closable.js';
import { repeatEvery } from './closable.js';

/** Lateness of the loop. */
export interface LoopLag extends Closable {
  /** Smoothed lateness in milliseconds; near 0 while the processor keeps up. */
  lagMs(): number;
}

const PROBE_PERIOD_MS = 20;
/** Weight of a new observation when lateness falls; a rise counts at once. */
const FALL_GAIN = 0.2;

/** Starts to observe. */
export function createLoopLag(clock: Clock): LoopLag {
  let dueAtMs = clock() + PROBE_PERIOD_MS;
  let smoothed = 0;

  const probing = repeatEvery(PROBE_PERIOD_MS, () => {
    const nowMs = clock();
    const late = Math.max(0, nowMs - dueAtMs);
    smoothed = late > smoothed ? late : smoothed + FALL_GAIN * (late - smoothed);
    dueAtMs = nowMs + PROBE_PERIOD_MS;
  });

  return { lagMs: () => smoothed, close: probing.close };
}
