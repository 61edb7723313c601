/** Prompt parts of recently answered requests. */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '../collections/index.js';

/** Parts with the time of their last answer. */
export interface ServedParts {
  record(partIds: readonly string[], nowMs: number): void;
  /** Returns whether a request with the part was answered after `atMs` or not long before it. */
  isServed(partId: string, atMs: number): boolean;
}

/** Time for which an answer counts. */
const SERVED_MEMORY_MS = 10_000;
const MAX_SERVED_PARTS = 8192;

/** Creates an empty set. */
export function createServedParts(): ServedParts {
  const servedAtMs = new Map<string, number>();
  return {
    record(partIds, nowMs) {
      partIds.forEach((partId) => markRecentlyUsed(servedAtMs, partId, nowMs));
      evictLeastRecentlyUsed(servedAtMs, MAX_SERVED_PARTS);
    },
    isServed(partId, atMs) {
      const lastMs = servedAtMs.get(partId);
      return lastMs !== undefined && lastMs > atMs - SERVED_MEMORY_MS;
    },
  };
}
