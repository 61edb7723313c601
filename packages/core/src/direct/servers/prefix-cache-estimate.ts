/** Estimate of an engine's prefix cache, with LRU eviction of prompt parts. */
import type { PromptPart } from '../types.js';

/** Estimated contents of an engine's prefix cache. */
export interface PrefixCacheEstimate {
  /** Prompt tokens that the engine would have to compute. Only parts before the first missing one count as cached. */
  uncachedTokens(parts: readonly PromptPart[]): number;
  /** Records parts that were sent to the engine or that it has reported as cached. */
  record(parts: readonly PromptPart[]): void;
  /** Returns whether all of these parts are cached. */
  containsAll(parts: readonly PromptPart[]): boolean;
  cachedTokens(): number;
}

/** Maximum number of parts: callers state how many tokens each has, also none. */
export const MAX_CACHED_PARTS = 8192;

/** Creates an empty cache of `capacityTokens`. */
export function createPrefixCacheEstimate(capacityTokens: number): PrefixCacheEstimate {
  // A Map keeps insertion order, so the first key is the least recently used.
  const cached = new Map<string, number>();
  let totalTokens = 0;

  function remove(id: string): void {
    totalTokens -= cached.get(id) ?? 0;
    cached.delete(id);
  }

  function evict(): void {
    for (const id of cached.keys()) {
      if (totalTokens <= capacityTokens && cached.size <= MAX_CACHED_PARTS) return;
      remove(id);
    }
  }

  return {
    uncachedTokens(parts) {
      const firstMissing = parts.findIndex(({ id }) => !cached.has(id));
      if (firstMissing < 0) return 0;
      return parts.slice(firstMissing).reduce((sum, { tokens }) => sum + tokens, 0);
    },
    record(parts) {
      parts.forEach(({ id, tokens }) => {
        remove(id);
        cached.set(id, tokens);
        totalTokens += tokens;
      });
      evict();
    },
    containsAll: (parts) => parts.every(({ id }) => cached.has(id)),
    cachedTokens: () => totalTokens,
  };
}
