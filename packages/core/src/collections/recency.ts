/** Recency of the entries of a Map or Set, which keep insertion order: the first entry is the least recently used one. */

/** Sets an entry and makes it the most recent one. */
export function markRecentlyUsed<TKey, TValue>(
  entries: Map<TKey, TValue>,
  key: TKey,
  value: TValue,
): void {
  entries.delete(key);
  entries.set(key, value);
}

/** Collection of which entries can be evicted. */
export interface Evictable<TKey> {
  readonly size: number;
  keys(): Iterator<TKey>;
  delete(key: TKey): boolean;
}

/** Removes the least recently used entries beyond `maxSize`. */
export function evictLeastRecentlyUsed<TKey>(entries: Evictable<TKey>, maxSize: number): void {
  const keys = entries.keys();
  while (entries.size > maxSize) entries.delete(keys.next().value as TKey);
}
