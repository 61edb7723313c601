/** Abortable delay. */
import { setTimeout as wait } from 'node:timers/promises';

/** Resolves after `ms` milliseconds without keeping the process alive; rejects when `signal` aborts. */
export const delay = (ms: number, signal?: AbortSignal): Promise<void> =>
  wait(ms, undefined, { ref: false, signal });
