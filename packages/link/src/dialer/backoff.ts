/** Time between attempts to connect. */
import { exponentialBackoffMs } from '@kingcupsill/core';

import type { BackoffOptions } from '../types.js';

const DEFAULT_MIN_MS = 100;
const DEFAULT_MAX_MS = 5000;

/** Time before the next attempt after a number of failures in a row: doubles up to a maximum, of which a random half is taken off. */
export function backoffMs(failures: number, random: number, options: BackoffOptions = {}): number {
  const { minMs = DEFAULT_MIN_MS, maxMs = DEFAULT_MAX_MS } = options;
  const fullMs = exponentialBackoffMs(failures, { initialMs: minMs, maxMs });
  return fullMs * (1 - random / 2);
}
