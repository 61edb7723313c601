export * from './cost-estimator.js';
export { createExchange, reduceExchange } from './exchange.js';
export type * from './exchange-types.js';
export * from './grant-order.js';
export {
  advancePoolTime,
  chargeService,
  createLedger,
  fleetTotals,
  ledgerEntry,
  liftOnBacklog,
  poolVirtualTimeMs,
  refundService,
  setWaiting,
  virtualTimeMs,
} from './service-ledger.js';
export type * from './types.js';
