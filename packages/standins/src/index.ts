/** Emulated external systems for development and tests. */
export * from './app/index.js';
export * from './common/types.js';
export * from './engine/index.js';
export * from './platform/index.js';
