/** Lagged load reports. */
import type { BatchState } from './batch-types.js';

/** Load of the engine as last sampled. */
export interface LoadSample {
  running: number;
  queued: number;
  kvTokensUsed: number;
  kvTokensTotal: number;
}

/** Load reports that lag behind the batch. */
export interface LoadReporter {
  /** The load now. */
  sample(): LoadSample;
  /** The load as last sampled. */
  read(): LoadSample & { ageMs: number };
  close(): void;
}

/** Samples the batch every `periodMs`; reports are as old as the last sample. */
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
    read: () => ({ ...last, ageMs: Math.round(performance.now() - sampledAtMs) }),
    close: () => clearInterval(timer),
  };
};
