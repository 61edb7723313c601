/** Estimate of the prompt parts that an engine keeps: least recently used parts leave when memory is full. */
import type { PromptPart } from './types.js';

/** What an engine is thought to keep. */
export interface PrefixCacheEstimate {
  /** Tokens of the prompt that the engine would have to read. Parts count as kept only up to the first one that isn't. */
  uncachedTokens(parts: readonly PromptPart[]): number;
  /** The engine reads these parts now. */
  record(parts: readonly PromptPart[]): void;
  /** Whether the engine keeps all of these parts. */
  containsAll(parts: readonly PromptPart[]): boolean;
  cachedTokens(): number;
}

/** Creates an empty cache of `capacityTokens`. */
export function createPrefixCacheEstimate(capacityTokens: number): PrefixCacheEstimate {
  // A Map keeps insertion order, so the first key is the least recently used.
  const kept = new Map<string, number>();
  let total = 0;

  function drop(id: string): void {
    total -= kept.get(id) ?? 0;
    kept.delete(id);
  }

  function evict(): void {
    for (const id of kept.keys()) {
      if (total <= capacityTokens) return;
      drop(id);
    }
  }

  return {
    uncachedTokens(parts) {
      const missing = parts.findIndex(({ id }) => !kept.has(id));
      if (missing < 0) return 0;
      return parts.slice(missing).reduce((sum, { tokens }) => sum + tokens, 0);
    },
    record(parts) {
      parts.forEach(({ id, tokens }) => {
        drop(id);
        kept.set(id, tokens);
        total += tokens;
      });
      evict();
    },
    containsAll: (parts) => parts.every(({ id }) => kept.has(id)),
    cachedTokens: () => total,
  };
}
