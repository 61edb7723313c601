/** Estimated throughput of an engine that processes prompts, from spans in which it was busy. */
import type { BusySpan } from './busy-spans.js';

/** Throughput of one engine. */
export interface Throughput {
  observe(span: BusySpan): void;
  /** Estimated prefill time per prompt token. */
  msPerToken(): number;
}

/** Tokens after whose processing an observation counts a third as much. */
const MEMORY_TOKENS = 150_000;
/** The initial estimate counts as much as an observation of this many tokens, at first and always. */
const INITIAL_PRIOR_TOKENS = 20_000;
const MIN_PRIOR_TOKENS = 4000;
/** Bounds of the estimate, as factors of the initial one. */
const MAX_FACTOR = 20;
const MIN_FACTOR = 0.4;

/** Creates the throughput of an engine without observations. */
export function createThroughput(initialMsPerToken: number): Throughput {
  let priorTokens = INITIAL_PRIOR_TOKENS;
  let observed: BusySpan = { tokens: 0, ms: 0 };
  let msPerToken = initialMsPerToken;

  return {
    observe({ tokens, ms }) {
      const decay = Math.exp(-tokens / MEMORY_TOKENS);
      priorTokens = MIN_PRIOR_TOKENS + (priorTokens - MIN_PRIOR_TOKENS) * decay;
      observed = { tokens: observed.tokens * decay + tokens, ms: observed.ms * decay + ms };
      const totalMs = observed.ms + priorTokens * initialMsPerToken;
      const meanMs = totalMs / (observed.tokens + priorTokens);
      msPerToken = Math.min(
        MAX_FACTOR * initialMsPerToken,
        Math.max(MIN_FACTOR * initialMsPerToken, meanMs),
      );
    },
    msPerToken: () => msPerToken,
  };
}
