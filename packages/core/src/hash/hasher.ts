/** Hash functions based on XXH32 of the xxhash-wasm library. */
import xxhash from 'xxhash-wasm';

import type { Hasher } from './types.js';

/** Loads the hash library and returns a synchronous hasher. */
export async function createHasher(): Promise<Hasher> {
  const { h32 } = await xxhash();
  return { hash32: (text, seed = 0) => h32(text, seed) };
}
