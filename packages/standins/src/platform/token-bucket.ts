/** Token bucket rate limiter. */
/** Limits the rate of calls. */
export interface TokenBucket {
  /** Takes one token at `nowMs`. Returns 0 on success, otherwise the milliseconds until a token is available. */
  take(nowMs: number): number;
}

/** Creates a full bucket with a capacity of one second of calls; at least one call. */
export const createTokenBucket = (perSecond: number, startMs: number): TokenBucket => {
  const capacity = Math.max(1, perSecond);
  let tokens = capacity;
  let refilledAtMs = startMs;
  return {
    take: (nowMs) => {
      const refill = ((nowMs - refilledAtMs) * perSecond) / 1000;
      tokens = Math.min(capacity, tokens + refill);
      refilledAtMs = nowMs;
      if (tokens >= 1) {
        tokens -= 1;
        return 0;
      }
      return ((1 - tokens) * 1000) / perSecond;
    },
  };
};
