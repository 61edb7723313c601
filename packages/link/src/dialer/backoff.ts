/** Backoff between connection attempts. */
import { exponentialBackoffMs } from '@kingcupsill/core';

import type { BackoffOptions } from '../types.js';

const DEFAULT_MIN_MS = 100;
const DEFAULT_MAX_MS = 5000;

/** Returns the delay before the next attempt, in milliseconds. It doubles with each failure up to a maximum, less a jitter of up to half. */
export function backoffMs(failures: number, random: number, options: BackoffOptions = {}): number {
  const { minMs = DEFAULT_MIN_MS, maxMs = DEFAULT_MAX_MS } = options;
  const delayMs = exponentialBackoffMs(failures, { initialMs: minMs, maxMs });
  return delayMs * (1 - random / 2);
}
