/** Bounds the lines of each kind of event, and counts what is left out. */
import type { Clock, LogFields, Logger } from '@kingcupsill/runtime';

/** Lines a second, and at once, of one kind of event. */
export interface RateLimit {
  perSecond: number;
  burst: number;
}

/** Routine lines are samples; refusals and failures are what a search for a cause needs. */
const ROUTINE_RATE: RateLimit = { perSecond: 2, burst: 10 };
const FAILURE_RATE: RateLimit = { perSecond: 20, burst: 100 };

interface Bucket {
  tokens: number;
  filledAtMs: number;
  leftOut: number;
}

/** Options of a bounded logger. */
export interface RateLimitedLoggerOptions {
  logger: Logger;
  clock: Clock;
}

/** Creates a logger whose lines name how many of their kind were left out before them. */
export function createRateLimitedLogger(options: RateLimitedLoggerOptions): Logger {
  const { logger, clock } = options;
  const buckets = new Map<string, Bucket>();

  function take(event: string, rate: RateLimit): Bucket | undefined {
    const now = clock();
    let bucket = buckets.get(event);
    if (bucket === undefined) {
      bucket = { tokens: rate.burst, filledAtMs: now, leftOut: 0 };
      buckets.set(event, bucket);
    }
    const gained = ((now - bucket.filledAtMs) / 1000) * rate.perSecond;
    bucket.tokens = Math.min(rate.burst, bucket.tokens + gained);
    bucket.filledAtMs = now;
    if (bucket.tokens < 1) {
      bucket.leftOut += 1;
      return undefined;
    }
    bucket.tokens -= 1;
    return bucket;
  }

  function bounded(rate: RateLimit, write: (event: string, fields?: LogFields) => void) {
    return (event: string, fields?: LogFields) => {
      const bucket = take(event, rate);
      if (bucket === undefined) return;
      const { leftOut } = bucket;
      bucket.leftOut = 0;
      write(event, leftOut > 0 ? { ...fields, leftOut } : fields);
    };
  }

  return {
    trace: bounded(ROUTINE_RATE, logger.trace),
    debug: bounded(ROUTINE_RATE, logger.debug),
    info: bounded(ROUTINE_RATE, logger.info),
    warn: bounded(FAILURE_RATE, logger.warn),
    error: bounded(FAILURE_RATE, logger.error),
    level: logger.level,
    setLevel: logger.setLevel,
  };
}
