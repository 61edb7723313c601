/** Periodically sampled load reports. */
import type { BatchState } from './batch-types.js';

/** Load of the engine at one point in time. */
export interface LoadSample {
  running: number;
  queued: number;
  kvTokensUsed: number;
  kvTokensTotal: number;
}

/** Reports the engine load with a sampling delay. */
export interface LoadReporter {
  /** Returns the current load. */
  sample(): LoadSample;
  /** Returns the last sample and its age in milliseconds. */
  latest(): LoadSample & { ageMs: number };
  close(): void;
}

/** Creates a reporter that samples the batch every `periodMs` milliseconds. */
export const createLoadReporter = (
  state: () => Readonly<BatchState>,
  periodMs: number,
): LoadReporter => {
  const sample = (): LoadSample => {
    const { running, queued, kvTokensUsed, settings } = state();
    return {
      running: running.length,
      queued: queued.length,
      kvTokensUsed,
      kvTokensTotal: settings.kvTokensTotal,
    };
  };
  let last = sample();
  let sampledAtMs = performance.now();
  const timer = setInterval(() => {
    last = sample();
    sampledAtMs = performance.now();
  }, periodMs);

  return {
    sample,
    latest: () => ({ ...last, ageMs: Math.round(performance.now() - sampledAtMs) }),
    close: () => clearInterval(timer),
  };
};
