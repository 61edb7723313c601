import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  advancePoolVirtualTime,
  chargeService,
  createLedger,
  getAccountVirtualTimeMs,
  getPoolVirtualTimeMs,
  liftOnBacklog,
  refundService,
  setWaiting,
} from '../../src/index.js';
import {
  applyFleetTotals,
  getOrCreateLedgerEntry,
  mergeLift,
} from '../../src/fairness/service-ledger.js';

const POOL = 'large';

test('computes virtual time as net service divided by share', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  chargeService(ledger, POOL, 'ann', 300);
  refundService(ledger, POOL, 'ann', 100);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 2), 100);
});

test('ignores negative and invalid amounts', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  [-1, Number.NaN].forEach((ms) => {
    chargeService(ledger, POOL, 'ann', ms);
    refundService(ledger, POOL, 'ann', ms);
    advancePoolVirtualTime(ledger, POOL, ms);
  });
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 0);
  assert.equal(getPoolVirtualTimeMs(ledger, POOL), 0);
});

test('never decreases the virtual time of a pool', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  advancePoolVirtualTime(ledger, POOL, 500);
  advancePoolVirtualTime(ledger, POOL, 400);
  assert.equal(getPoolVirtualTimeMs(ledger, POOL), 500);
});

test('earns no credit while idle', () => {
  const ledger = createLedger({ lagBoundMs: 10_000 });
  advancePoolVirtualTime(ledger, POOL, 5000);
  liftOnBacklog(ledger, POOL, 'ann', 1);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 5000);
});

test('does not lift an account that is already waiting', () => {
  const ledger = createLedger({ lagBoundMs: 10_000 });
  advancePoolVirtualTime(ledger, POOL, 5000);
  setWaiting(ledger, POOL, 'ann', true);
  liftOnBacklog(ledger, POOL, 'ann', 1);
  getOrCreateLedgerEntry(ledger, POOL, 'ben').waitingElsewhere = true;
  liftOnBacklog(ledger, POOL, 'ben', 1);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 0);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ben', 1), 0);
});

test('lifts an account permanently to the lag bound', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  setWaiting(ledger, POOL, 'ann', true);
  advancePoolVirtualTime(ledger, POOL, 5000);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 4000);
  chargeService(ledger, POOL, 'ann', 700);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 4700);
});

test('keeps the virtual time when the share changes', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  chargeService(ledger, POOL, 'ann', 6000);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 3), 2000);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 2000);
  chargeService(ledger, POOL, 'ann', 100);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 2100);
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 5), 2100);
});

test('merges lifts to the same result in either order', () => {
  const lifts = [
    { epoch: 1, liftMs: 50, share: 2 },
    { epoch: 1, liftMs: 70, share: 2 },
    { epoch: 2, liftMs: -10, share: 1 },
    { epoch: 2, liftMs: -90, share: 3 },
  ];
  const mergeAll = (sequence: typeof lifts) => {
    const entry = getOrCreateLedgerEntry(createLedger({ lagBoundMs: 1000 }), POOL, 'ann');
    sequence.forEach((lift) => mergeLift(entry, lift));
    return entry.lift;
  };
  assert.deepEqual(mergeAll(lifts), { epoch: 2, liftMs: -90, share: 3 });
  assert.deepEqual(mergeAll([...lifts].reverse()), { epoch: 2, liftMs: -90, share: 3 });
});

test('counts service included in the fleet totals only once', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  chargeService(ledger, POOL, 'ann', 300);
  const entry = getOrCreateLedgerEntry(ledger, POOL, 'ann');
  const received = { chargedMs: 1000, refundedMs: 0 };
  applyFleetTotals(entry, received, { chargedMs: 200, refundedMs: 0 });
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 1100);
  applyFleetTotals(entry, received, { chargedMs: 200, refundedMs: 0 });
  assert.equal(getAccountVirtualTimeMs(ledger, POOL, 'ann', 1), 1100);
});
