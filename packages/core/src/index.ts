/** Coordination library of the router fleet: pure reducers and data types, no I/O. */
export * from './backoff/index.js';
export * from './claims/index.js';
export * from './config/index.js';
export * from './fairness/index.js';
export * from './hash/index.js';
export * from './journal/index.js';
export * from './lease/index.js';
export * from './reducer/index.js';
export * from './process/index.js';
export * from './protocol/index.js';
export * from './router/index.js';
export * from './sidecar/index.js';
