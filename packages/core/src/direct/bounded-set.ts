/** Set of strings with a maximum size; the oldest entry is evicted first. */

/** Bounded set. */
export interface BoundedSet {
  add(value: string): void;
  remove(value: string): void;
  has(value: string): boolean;
}

/** Creates an empty set of at most `maxSize` values. */
export function createBoundedSet(maxSize: number): BoundedSet {
  // A Set keeps insertion order, so the first value is the oldest.
  const values = new Set<string>();
  return {
    add(value) {
      values.delete(value);
      values.add(value);
      if (values.size <= maxSize) return;
      const [oldest] = values;
      if (oldest !== undefined) values.delete(oldest);
    },
    remove: (value) => {
      values.delete(value);
    },
    has: (value) => values.has(value),
  };
}
