/** Received bytes. */
export { createByteCollector } from './byte-collector.js';
export type { ByteCollector } from './byte-collector.js';
