/** Emulated outside systems for development and tests. */
export * from './app/index.js';
export type { Fault, FaultRole, FaultTable, PlannedFault } from './common/faults.js';
export * from './engine/index.js';
export * from './platform/index.js';
