/** Rate limit of log lines per event, with a count of suppressed lines. */
import type { Clock, LogFields, Logger } from '@kingcupsill/runtime';

/** Token bucket limits in lines, per event. */
export interface RateLimit {
  perSecond: number;
  burst: number;
}

/** Routine lines are samples. Refusals and failures have a higher limit, since they are needed to find causes. */
const ROUTINE_LIMIT: RateLimit = { perSecond: 2, burst: 10 };
const FAILURE_LIMIT: RateLimit = { perSecond: 20, burst: 100 };

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  suppressed: number;
}

/** Options of a rate-limited logger. */
export interface RateLimitedLoggerOptions {
  logger: Logger;
  clock: Clock;
}

/** Creates a logger whose lines state in `leftOut` how many lines of the same event were suppressed before them. */
export function createRateLimitedLogger(options: RateLimitedLoggerOptions): Logger {
  const { logger, clock } = options;
  const buckets = new Map<string, Bucket>();

  function takeToken(event: string, limit: RateLimit): Bucket | undefined {
    const nowMs = clock();
    let bucket = buckets.get(event);
    if (bucket === undefined) {
      bucket = { tokens: limit.burst, refilledAtMs: nowMs, suppressed: 0 };
      buckets.set(event, bucket);
    }
    const refill = ((nowMs - bucket.refilledAtMs) / 1000) * limit.perSecond;
    bucket.tokens = Math.min(limit.burst, bucket.tokens + refill);
    bucket.refilledAtMs = nowMs;
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      return undefined;
    }
    bucket.tokens -= 1;
    return bucket;
  }

  function rateLimited(limit: RateLimit, write: (event: string, fields?: LogFields) => void) {
    return (event: string, fields?: LogFields) => {
      const bucket = takeToken(event, limit);
      if (bucket === undefined) return;
      const { suppressed } = bucket;
      bucket.suppressed = 0;
      write(event, suppressed > 0 ? { ...fields, leftOut: suppressed } : fields);
    };
  }

  return {
    trace: rateLimited(ROUTINE_LIMIT, logger.trace),
    debug: rateLimited(ROUTINE_LIMIT, logger.debug),
    info: rateLimited(ROUTINE_LIMIT, logger.info),
    warn: rateLimited(FAILURE_LIMIT, logger.warn),
    error: rateLimited(FAILURE_LIMIT, logger.error),
    level: logger.level,
    setLevel: logger.setLevel,
  };
}
