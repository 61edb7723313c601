/** Prompt parts of recently answered requests. */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '../collections/index.js';

/** Parts with the time of their last answer. */
export interface ServedTraits {
  record(traits: readonly string[], nowMs: number): void;
  /** Returns whether a request with the part was answered after `atMs` or not long before it. */
  isServed(trait: string, atMs: number): boolean;
}

/** Time for which an answer counts. */
const SERVED_MEMORY_MS = 10_000;
const MAX_SERVED_TRAITS = 8192;

/** Creates an empty set. */
export function createServedTraits(): ServedTraits {
  const servedAtMs = new Map<string, number>();
  return {
    record(traits, nowMs) {
      traits.forEach((trait) => markRecentlyUsed(servedAtMs, trait, nowMs));
      evictLeastRecentlyUsed(servedAtMs, MAX_SERVED_TRAITS);
    },
    isServed(trait, atMs) {
      const lastMs = servedAtMs.get(trait);
      return lastMs !== undefined && lastMs > atMs - SERVED_MEMORY_MS;
    },
  };
}
