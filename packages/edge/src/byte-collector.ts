/** Collection of received bytes. */

/** Collected bytes, in order. */
export interface ByteCollector {
  add(chunk: Buffer): void;
  chunks(): Buffer[];
}

/** Size below which pieces are copied together: a buffer takes some 200 bytes of heap besides its content, which no budget counts. */
const MIN_CHUNK_BYTES = 1024;
const BLOCK_BYTES = 16 * 1024;

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
  const chunks: Buffer[] = [];
  let block = Buffer.alloc(0);
  let filledBytes = 0;

  function closeBlock(): void {
    if (filledBytes > 0) chunks.push(block.subarray(0, filledBytes));
    block = block.subarray(filledBytes);
    filledBytes = 0;
  }

  return {
    add(chunk) {
      if (chunk.length >= MIN_CHUNK_BYTES) {
        closeBlock();
        chunks.push(chunk);
        return;
      }
      if (chunk.length > block.length - filledBytes) {
        closeBlock();
        block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      }
      filledBytes += chunk.copy(block, filledBytes);
    },
    chunks() {
      closeBlock();
      return chunks;
    },
  };
}
