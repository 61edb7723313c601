/** Rate limit by a token bucket. */
/** Limits a rate of calls. */
export interface TokenBucket {
  /** Takes one call at `nowMs`; 0 when allowed, else the milliseconds until the next is. */
  take(nowMs: number): number;
}

/** Creates a full bucket that holds one second's worth of calls, and at least one call. */
export const createTokenBucket = (perSecond: number, startMs: number): TokenBucket => {
  const capacity = Math.max(1, perSecond);
  let tokens = capacity;
  let filledAtMs = startMs;
  return {
    take: (nowMs) => {
      const earned = ((nowMs - filledAtMs) * perSecond) / 1000;
      tokens = Math.min(capacity, tokens + earned);
      filledAtMs = nowMs;
      if (tokens >= 1) {
        tokens -= 1;
        return 0;
      }
      return ((1 - tokens) * 1000) / perSecond;
    },
  };
};
