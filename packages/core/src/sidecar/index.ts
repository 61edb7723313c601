export * from './sidecar-reducer.js';
export * from './slots.js';
export * from './types.js';
