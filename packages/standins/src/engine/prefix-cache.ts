/** LRU cache of prompt prefix blocks. */
/** A change of the prefix cache. */
export interface CacheChange {
  kind: 'stored' | 'evicted';
  fingerprint: string;
}

/** Cached block fingerprints in LRU order, least recently used first. */
export interface PrefixCacheState {
  capacity: number;
  blocks: Map<string, true>;
}

/** Creates an empty cache for at most `capacity` blocks. */
export const createPrefixCache = (capacity: number): PrefixCacheState => ({
  capacity,
  blocks: new Map(),
});

/** Returns the number of consecutive cached blocks from the start of the prompt. */
export const countCachedBlocks = (cache: PrefixCacheState, fingerprints: string[]): number => {
  const firstMissing = fingerprints.findIndex((fingerprint) => !cache.blocks.has(fingerprint));
  return firstMissing === -1 ? fingerprints.length : firstMissing;
};

/** Stores or refreshes blocks, evicts the least recently used ones over capacity, and returns the changes. */
export const storeBlocks = (cache: PrefixCacheState, fingerprints: string[]): CacheChange[] => {
  const changes: CacheChange[] = [];
  // A block is useful only with all blocks before it, so earlier blocks become more recently used than later ones.
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
