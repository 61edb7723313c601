export * from './run-scenario.js';
export * from './types.js';
