/** Emulated outside systems for development and tests. */
export * from './engine/index.js';
export type { Fault, FaultRole, FaultTable, PlannedFault } from './common/faults.js';
export * from './platform/index.js';
