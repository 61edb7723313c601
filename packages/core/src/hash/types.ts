/** 32-bit hash functions over text; the same on every machine. */
export interface Hasher {
  /** Unsigned 32-bit hash of the UTF-8 bytes of `text`. */
  hash32: (text: string, seed?: number) => number;
}
