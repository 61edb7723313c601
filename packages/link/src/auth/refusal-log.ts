/** Logs, counts and reports handshakes that failed. */
import type { LinkOptions, Refusal, RefusalCode } from '../types.js';

/** Refusals of one server or dialer. */
export interface RefusalLog {
  add(refusal: Refusal): void;
  counts(): Partial<Record<RefusalCode, number>>;
}

/** Creates an empty log. */
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
