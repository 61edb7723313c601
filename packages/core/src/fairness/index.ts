export * from './cost-estimator.js';
export { createExchange, reduceExchange } from './exchange.js';
export type * from './exchange-types.js';
export * from './grant-scheduler.js';
export {
  advancePoolVirtualTime,
  chargeService,
  computeFleetTotals,
  createLedger,
  getAccountVirtualTimeMs,
  getOrCreateLedgerEntry,
  getPoolVirtualTimeMs,
  liftOnBacklog,
  refundService,
  setWaiting,
} from './service-ledger.js';
export type * from './types.js';
