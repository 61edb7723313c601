export * from './link-selection.js';
export * from './router-process.js';
export * from './sidecar-process.js';
export type * from './types.js';
