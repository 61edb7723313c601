/** Model weights at a limited rate. */
import { delay } from '../common/delay.js';

/** Serves model weights at a limited total rate. */
export interface WeightStore {
  sizeBytes: number;
  /** The weights of one model in chunks; concurrent reads share the rate. */
  read(model: string): AsyncGenerator<Buffer>;
}

const CHUNK_BYTES = 65_536;

/** Creates a store that holds weights of one size for every model name. */
export const createWeightStore = (sizeBytes: number, bytesPerSecond: number): WeightStore => {
  let freeAtMs = 0;

  const reserve = (bytes: number): number => {
    const nowMs = performance.now();
    freeAtMs = Math.max(freeAtMs, nowMs) + (bytes * 1000) / bytesPerSecond;
    return freeAtMs - nowMs;
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
