/** Smoothed lag of the event loop from the lag at single probes. */
import { LATE_LAG_MS } from './overload.js';

/** Estimate that follows the probes. */
export interface LagEstimate {
  /** Records the lag of the event loop at one probe. */
  observe(observedMs: number): void;
  /** Smoothed lag in milliseconds; near 0 while the processor keeps up. */
  lagMs(): number;
}

/** Smoothing factor for falling lag. A rise counts in full at once. */
const FALL_SMOOTHING_FACTOR = 0.2;
/** Probes that must be on time after a single late one, so that the process counts as paused and what waited meanwhile as read. */
const PROBES_AFTER_PAUSE = 3;

/** Creates an estimate of 0. */
export function createLagEstimate(): LagEstimate {
  let smoothedMs = 0;
  /** Lengths of the latest runs of late probes and of those on time behind them. */
  let lateProbes = 0;
  let punctualProbes = 0;

  function countProbe(observedMs: number): void {
    if (observedMs < LATE_LAG_MS) {
      punctualProbes += 1;
      return;
    }
    lateProbes = punctualProbes > 0 ? 1 : lateProbes + 1;
    punctualProbes = 0;
  }

  return {
    observe(observedMs) {
      countProbe(observedMs);
      const isPauseOver = lateProbes === 1 && punctualProbes === PROBES_AFTER_PAUSE;
      smoothedMs =
        observedMs > smoothedMs || isPauseOver
          ? observedMs
          : smoothedMs + FALL_SMOOTHING_FACTOR * (observedMs - smoothedMs);
    },
    lagMs: () => smoothedMs,
  };
}
