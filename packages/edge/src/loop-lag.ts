/** Event loop lag, which equals the age of the work that waits in the kernel. */
import type { Clock } from '@kingcupsill/runtime';
import type { Closable } from './closable.js';
import { createLagEstimate } from './lag-estimate.js';
import { createOverloadDetector } from './overload.js';

/** Measurement of the event loop lag. */
export interface LoopLag extends Closable {
  /** Smoothed lag in milliseconds; near 0 while the processor keeps up. */
  lagMs(): number;
  /** Returns whether the processor hasn't kept up for some time: the loop was late, or connections waited to be accepted. */
  isOverloaded(): boolean;
}

const PROBE_PERIOD_MS = 20;

/** Starts the measurement. `acceptWaitMs` estimates the wait of connections that haven't been accepted yet. */
export function createLoopLag(clock: Clock, acceptWaitMs: () => number): LoopLag {
  let dueAtMs = clock() + PROBE_PERIOD_MS;
  const estimate = createLagEstimate();
  const detector = createOverloadDetector();

  const probeTimer = setInterval(() => {
    const nowMs = clock();
    const observedMs = Math.max(0, nowMs - dueAtMs);
    detector.observe(observedMs, nowMs, acceptWaitMs());
    estimate.observe(observedMs);
    dueAtMs = nowMs + PROBE_PERIOD_MS;
  }, PROBE_PERIOD_MS);

  return {
    lagMs: estimate.lagMs,
    isOverloaded: () => detector.isOverloaded(clock()),
    close: () => clearInterval(probeTimer),
  };
}
