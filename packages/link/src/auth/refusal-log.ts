/** Logging and counting of failed handshakes. */
import type { LinkOptions, Refusal, RefusalCode } from '../types.js';

/** Failed handshakes of one server or dialer. */
export interface RefusalLog {
  /** Logs and counts a failed handshake and calls `onRefused`. */
  add(refusal: Refusal): void;
  /** Number of failed handshakes by code. */
  counts(): Partial<Record<RefusalCode, number>>;
}

/** Creates a refusal log with all counts at 0. */
export function createRefusalLog(options: Pick<LinkOptions, 'logger' | 'handlers'>): RefusalLog {
  const counts: Partial<Record<RefusalCode, number>> = {};
  return {
    add(refusal) {
      counts[refusal.code] = (counts[refusal.code] ?? 0) + 1;
      options.logger.warn('link-refused', { ...refusal });
      options.handlers.onRefused?.(refusal);
    },
    counts: () => ({ ...counts }),
  };
}
