export * from './router-reducer.js';
export * from './types.js';
