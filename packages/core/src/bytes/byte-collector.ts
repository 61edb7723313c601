/** Collection of received bytes. */

/** Collected bytes, in order. */
export interface ByteCollector {
  add(chunk: Buffer): void;
  /** The collected bytes in a few pieces. */
  chunks(): Buffer[];
  /** Memory that the collected bytes keep, which may be more than they are. */
  heldBytes(): number;
  clear(): void;
}

/** Heap of a buffer besides its content. */
const BUFFER_OVERHEAD_BYTES = 200;
/** Size below which pieces are copied together, so that their overhead is small. */
const MIN_CHUNK_BYTES = 4096;
/** Blocks grow with what is held, so that a few bytes don't take a large one. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 16 * 1024;
const NO_BYTES: Buffer = Buffer.alloc(0);

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
  let chunks: Buffer[] = [];
  let heldBytes = 0;
  let block = NO_BYTES;
  let filledBytes = 0;

  function closeBlock(): void {
    if (filledBytes > 0) chunks.push(block.subarray(0, filledBytes));
    block = block.subarray(filledBytes);
    filledBytes = 0;
  }

  function openBlock(): void {
    closeBlock();
    block = Buffer.allocUnsafeSlow(
      Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, heldBytes / 4)),
    );
    heldBytes += block.length;
  }

  function copy(chunk: Buffer): void {
    let copiedBytes = 0;
    while (copiedBytes < chunk.length) {
      if (filledBytes === block.length) openBlock();
      const bytes = chunk.copy(block, filledBytes, copiedBytes);
      filledBytes += bytes;
      copiedBytes += bytes;
    }
  }

  function keep(chunk: Buffer): void {
    closeBlock();
    // Pieces of one read follow each other.
    if (chunks.at(-1)?.buffer !== chunk.buffer) heldBytes += chunk.buffer.byteLength;
    heldBytes += BUFFER_OVERHEAD_BYTES;
    chunks.push(chunk);
  }

  return {
    add(chunk) {
      if (chunk.length < MIN_CHUNK_BYTES) copy(chunk);
      else keep(chunk);
    },
    chunks() {
      closeBlock();
      return chunks;
    },
    heldBytes: () => heldBytes,
    clear() {
      chunks = [];
      heldBytes = 0;
      block = NO_BYTES;
      filledBytes = 0;
    },
  };
}
