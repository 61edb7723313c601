export * from './run-scenario.js';
export * from './types.js';
export * from './run-scale.js';
export type { RunRecords } from './summarise.js';
