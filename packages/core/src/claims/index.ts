export * from './claim-reducer.js';
export * from './schema.js';
export * from './types.js';
