/** Set of strings with a maximum size; the oldest entry is evicted first. */

import { evictLeastRecentlyUsed } from '../collections/index.js';

/** Bounded set. */
export interface BoundedSet {
  add(value: string): void;
  remove(value: string): void;
  has(value: string): boolean;
}

/** Creates an empty set of at most `maxSize` values. */
export function createBoundedSet(maxSize: number): BoundedSet {
  const values = new Set<string>();
  return {
    add(value) {
      values.delete(value);
      values.add(value);
      evictLeastRecentlyUsed(values, maxSize);
    },
    remove: (value) => {
      values.delete(value);
    },
    has: (value) => values.has(value),
  };
}
