/** Rate-limited store of model weights. */
import { delay } from '../common/delay.js';

/** Serves model weights at a limited total transfer rate. */
export interface WeightStore {
  sizeBytes: number;
  /** Yields the weights of one model in chunks; concurrent reads share the transfer rate. */
  read(model: string): AsyncGenerator<Buffer>;
}

const CHUNK_BYTES = 65_536;

/** Creates a store that serves weights of the same size for every model name. */
export const createWeightStore = (sizeBytes: number, bytesPerSecond: number): WeightStore => {
  let availableAtMs = 0;

  const reserve = (bytes: number): number => {
    const nowMs = performance.now();
    availableAtMs = Math.max(availableAtMs, nowMs) + (bytes * 1000) / bytesPerSecond;
    return availableAtMs - nowMs;
  };

  async function* read(model: string): AsyncGenerator<Buffer> {
    const chunk = Buffer.alloc(CHUNK_BYTES, model);
    for (let sent = 0; sent < sizeBytes; sent += CHUNK_BYTES) {
      const bytes = Math.min(CHUNK_BYTES, sizeBytes - sent);
      await delay(reserve(bytes));
      yield chunk.subarray(0, bytes);
    }
  }

  return { sizeBytes, read };
};
