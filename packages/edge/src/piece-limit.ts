/** Limit of the number of pieces in which bytes may arrive: each piece costs processor time and heap, however small it is. */

/** Pieces that any message may have, and the bytes that each further piece must have on average. */
const FREE_PIECES = 16_384;
const MIN_MEAN_BYTES = 8;

/** Returns whether the number of pieces is out of proportion to their bytes. */
export function hasTooManyPieces(pieces: number, bytes: number): boolean {
  return pieces > FREE_PIECES + bytes / MIN_MEAN_BYTES;
}
