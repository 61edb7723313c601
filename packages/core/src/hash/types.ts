/** 32-bit hash functions for strings with the same results on every machine. */
export interface Hasher {
  /** Returns the unsigned 32-bit hash of the UTF-8 bytes of `text`. */
  hash32: (text: string, seed?: number) => number;
}
