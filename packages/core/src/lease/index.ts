export * from './lease-reducer.js';
export * from './schema.js';
export * from './types.js';
