/** Event loop lag, which equals the age of the work that waits in the kernel. */
import type { Clock } from '@kingcupsill/runtime';
import type { Closable } from './closable.js';
import { createLagEstimate } from './lag-estimate.js';
import { createOverloadDetector } from './overload.js';

/** Measurement of the event loop lag. */
export interface LoopLag extends Closable {
  /** Smoothed lag in milliseconds; near 0 while the processor keeps up. */
  lagMs(): number;
  /** Returns whether the processor hasn't kept up for some time. */
  isOverloaded(): boolean;
}

const PROBE_PERIOD_MS = 20;

/** Starts the measurement. */
export function createLoopLag(clock: Clock): LoopLag {
  let dueAtMs = clock() + PROBE_PERIOD_MS;
  const estimate = createLagEstimate();
  const detector = createOverloadDetector();

  const probeTimer = setInterval(() => {
    const nowMs = clock();
    const observedMs = Math.max(0, nowMs - dueAtMs);
    detector.observe(observedMs, nowMs);
    estimate.observe(observedMs);
    dueAtMs = nowMs + PROBE_PERIOD_MS;
  }, PROBE_PERIOD_MS);

  return {
    lagMs: estimate.lagMs,
    isOverloaded: () => detector.isOverloaded(clock()),
    close: () => clearInterval(probeTimer),
  };
}
