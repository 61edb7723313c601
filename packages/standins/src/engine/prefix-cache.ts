/** Cache of prompt prefix blocks with eviction of the least recently used. */
/** A change of the prefix cache. */
export interface CacheChange {
  kind: 'stored' | 'evicted';
  fingerprint: string;
}

/** Fingerprints of prompt blocks, least recently used first. */
export interface PrefixCacheState {
  capacity: number;
  blocks: Map<string, true>;
}

/** Creates an empty cache that holds `capacity` blocks. */
export const createPrefixCache = (capacity: number): PrefixCacheState => ({
  capacity,
  blocks: new Map(),
});

/** Counts the leading fingerprints that are cached. */
export const countCachedBlocks = (cache: PrefixCacheState, fingerprints: string[]): number => {
  const firstMissing = fingerprints.findIndex((one) => !cache.blocks.has(one));
  return firstMissing === -1 ? fingerprints.length : firstMissing;
};

/** Stores or refreshes fingerprints and evicts the least recently used; returns the changes. */
export const storeBlocks = (cache: PrefixCacheState, fingerprints: string[]): CacheChange[] => {
  const changes: CacheChange[] = [];
  // Later blocks are useless without earlier ones, so earlier ones are made the more recent.
  [...fingerprints].reverse().forEach((fingerprint) => {
    if (!cache.blocks.delete(fingerprint)) changes.push({ kind: 'stored', fingerprint });
    cache.blocks.set(fingerprint, true);
  });
  while (cache.blocks.size > cache.capacity) {
    const oldest = cache.blocks.keys().next().value as string;
    cache.blocks.delete(oldest);
    changes.push({ kind: 'evicted', fingerprint: oldest });
  }
  return changes;
};
