export * from './cost-estimator.js';
export * from './service-ledger.js';
export type * from './types.js';
