/** Creates the hash functions: XXH32 of the xxhash-wasm library. */
import xxhash from 'xxhash-wasm';

import type { Hasher } from './types.js';

/** Loads the hash library once; the hasher itself is synchronous. */
export async function createHasher(): Promise<Hasher> {
  const { h32 } = await xxhash();
  return { hash32: (text, seed = 0) => h32(text, seed) };
}
