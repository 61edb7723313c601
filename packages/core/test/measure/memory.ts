/** Measures the heap usage of the ledger and the cost histories of a router. Run with `--expose-gc`. */
import {
  chargeService,
  createCostEstimator,
  createLedger,
  getAccountVirtualTimeMs,
  observeCost,
} from '../../src/index.js';
import { numericOptions } from './options.js';

const { accounts, pools } = numericOptions({ accounts: 4000, pools: 24 });

function heapMb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1e6;
}

function forEachPair(action: (pool: string, account: string) => void): void {
  for (let account = 0; account < accounts; account++) {
    for (let pool = 0; pool < pools; pool++) action(`pool-${pool}`, `account-${account}`);
  }
}

const emptyMb = heapMb();
const ledger = createLedger({ lagBoundMs: 60_000 });
forEachPair((pool, account) => {
  chargeService(ledger, pool, account, 1.5);
  getAccountVirtualTimeMs(ledger, pool, account, 2);
});
const ledgerMb = heapMb() - emptyMb;
const estimator = createCostEstimator();
forEachPair((pool, account) => {
  observeCost(estimator, { account, service: pool, maxTokens: 100 }, 1500);
  observeCost(estimator, { account, service: pool, maxTokens: 4000 }, 9000);
});
const historiesMb = heapMb() - emptyMb - ledgerMb;
const result = {
  accounts,
  pools,
  ledgerMb: Number(ledgerMb.toFixed(1)),
  histories: estimator.histories.size,
  historiesMb: Number(historiesMb.toFixed(1)),
  entries: ledger.changedEntries.size,
};
process.stdout.write(`${JSON.stringify(result)}\n`);
