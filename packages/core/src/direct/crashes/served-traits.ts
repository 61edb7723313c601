/** Traits of recently answered requests. */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '../../collections/index.js';

/** Traits with the time of their last answer. */
export interface ServedTraits {
  record(traits: readonly string[], nowMs: number): void;
  /** Returns whether a request with the trait was answered after `atMs` or not long before it. */
  isServed(trait: string, atMs: number): boolean;
}

/** Time before a crash in which an answer counts. */
const SERVED_MEMORY_MS = 10_000;
/** Time for which a crash counts. */
export const CRASH_MEMORY_MS = 30_000;
const MAX_SERVED_TRAITS = 8192;

/** Creates an empty set. */
export function createServedTraits(): ServedTraits {
  const servedAtMs = new Map<string, number>();
  /** Removes what no question can be about any more: most traits occur in one request only. */
  function prune(nowMs: number): void {
    for (const [trait, atMs] of servedAtMs) {
      if (nowMs - atMs <= SERVED_MEMORY_MS + CRASH_MEMORY_MS) return;
      servedAtMs.delete(trait);
    }
  }

  return {
    record(traits, nowMs) {
      traits.forEach((trait) => markRecentlyUsed(servedAtMs, trait, nowMs));
      evictLeastRecentlyUsed(servedAtMs, MAX_SERVED_TRAITS);
      prune(nowMs);
    },
    isServed(trait, atMs) {
      const lastMs = servedAtMs.get(trait);
      return lastMs !== undefined && lastMs > atMs - SERVED_MEMORY_MS;
    },
  };
}
