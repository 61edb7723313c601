/** Event loop lag, which equals the age of the work that waits in the kernel. */
import type { Clock } from '@kingcupsill/runtime';
import { repeatEvery } from './closable.js';
import type { Closable } from './closable.js';
import { createOverloadDetector } from './overload.js';

/** Measurement of the event loop lag. */
export interface LoopLag extends Closable {
  /** Smoothed lag in milliseconds; near 0 while the processor keeps up. */
  lagMs(): number;
  /** Returns whether the processor hasn't kept up for some time. */
  isOverloaded(): boolean;
}

const PROBE_PERIOD_MS = 20;
/** Smoothing factor for falling lag. A rise counts in full at once. */
const FALL_SMOOTHING_FACTOR = 0.2;

/** Starts the measurement. */
export function createLoopLag(clock: Clock): LoopLag {
  let dueAtMs = clock() + PROBE_PERIOD_MS;
  let smoothedMs = 0;
  const detector = createOverloadDetector();

  const probeTimer = repeatEvery(PROBE_PERIOD_MS, () => {
    const nowMs = clock();
    const observedMs = Math.max(0, nowMs - dueAtMs);
    detector.observe(observedMs, nowMs);
    smoothedMs =
      observedMs > smoothedMs
        ? observedMs
        : smoothedMs + FALL_SMOOTHING_FACTOR * (observedMs - smoothedMs);
    dueAtMs = nowMs + PROBE_PERIOD_MS;
  });

  return {
    lagMs: () => smoothedMs,
    isOverloaded: () => detector.isOverloaded(clock()),
    close: probeTimer.close,
  };
}
