/** Load generator and experiment runner for router fleets. */
export * from './demo/index.js';
export * from './fleet/index.js';
export * from './load/index.js';
export * from './measure/index.js';
export * from './report/index.js';
export * from './run/index.js';
export * from './scenarios/index.js';
