/** Parts in which Node's parser gets the bytes of a connection, so that it finds at most one request in each. */

/** End of a head, of an empty line, and of a chunked body. */
const HEAD_END = '\r\n\r\n';
/** Number of bytes behind which the rest of a head's end may arrive. */
const OVERLAP_BYTES = HEAD_END.length - 1;
/** Sizes of the parts of a body without a stated length. The next request may begin anywhere in them. */
const MIN_PART_BYTES = 64;
const MAX_PART_BYTES = 4096;

/** Returns the last bytes of a part as text, which `findHeadEnd` needs for the next one; a buffer would keep all that was read with it. */
export function takeOverlap(part: Buffer): string {
  return part.toString('latin1', Math.max(0, part.length - OVERLAP_BYTES));
}

/**
 * Returns the offset behind the end of the first head in `bytes`; undefined if there is none.
 * @param overlap last bytes of the part before
 */
export function findHeadEnd(overlap: string, bytes: Buffer): number | undefined {
  const edge = overlap + bytes.toString('latin1', 0, OVERLAP_BYTES);
  const edgeOffset = edge.indexOf(HEAD_END);
  if (edgeOffset >= 0) return edgeOffset + HEAD_END.length - overlap.length;
  const offset = bytes.indexOf(HEAD_END);
  return offset < 0 ? undefined : offset + HEAD_END.length;
}

/** Returns the offset behind the next part of a body without a stated length; it doesn't reach beyond the end of one. */
export function findPartEnd(bytes: Buffer): number {
  const part = bytes.subarray(0, MAX_PART_BYTES);
  const offset = part.indexOf(HEAD_END, MIN_PART_BYTES - HEAD_END.length);
  return offset < 0 ? part.length : offset + HEAD_END.length;
}
