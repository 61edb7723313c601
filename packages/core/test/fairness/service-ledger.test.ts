import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  advancePoolTime,
  chargeService,
  createLedger,
  liftOnBacklog,
  poolVirtualTimeMs,
  refundService,
  setWaiting,
  virtualTimeMs,
} from '../../src/index.js';
import { applyFleetTotals, ledgerEntry, mergeLift } from '../../src/fairness/service-ledger.js';

const POOL = 'large';

test('virtual time is net service over share', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  chargeService(ledger, POOL, 'ann', 300);
  refundService(ledger, POOL, 'ann', 100);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 2), 100);
});

test('negative and unusable amounts are ignored', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  [-1, Number.NaN].forEach((ms) => {
    chargeService(ledger, POOL, 'ann', ms);
    refundService(ledger, POOL, 'ann', ms);
    advancePoolTime(ledger, POOL, ms);
  });
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 0);
  assert.equal(poolVirtualTimeMs(ledger, POOL), 0);
});

test('the virtual time of a pool never goes back', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  advancePoolTime(ledger, POOL, 500);
  advancePoolTime(ledger, POOL, 400);
  assert.equal(poolVirtualTimeMs(ledger, POOL), 500);
});

test('idling saves nothing up', () => {
  const ledger = createLedger({ lagBoundMs: 10_000 });
  advancePoolTime(ledger, POOL, 5000);
  liftOnBacklog(ledger, POOL, 'ann', 1);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 5000);
});

test('an account that waits already is not lifted', () => {
  const ledger = createLedger({ lagBoundMs: 10_000 });
  advancePoolTime(ledger, POOL, 5000);
  setWaiting(ledger, POOL, 'ann', true);
  liftOnBacklog(ledger, POOL, 'ann', 1);
  ledgerEntry(ledger, POOL, 'ben').waitingElsewhere = true;
  liftOnBacklog(ledger, POOL, 'ben', 1);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 0);
  assert.equal(virtualTimeMs(ledger, POOL, 'ben', 1), 0);
});

test('a lag beyond the bound is forgiven for good', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  setWaiting(ledger, POOL, 'ann', true);
  advancePoolTime(ledger, POOL, 5000);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 4000);
  chargeService(ledger, POOL, 'ann', 700);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 4700);
});

test('a change of share keeps the virtual time', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  chargeService(ledger, POOL, 'ann', 6000);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 3), 2000);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 2000);
  chargeService(ledger, POOL, 'ann', 100);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 2100);
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 5), 2100);
});

test('lifts merge the same in either order', () => {
  const lifts = [
    { epoch: 1, liftMs: 50, share: 2 },
    { epoch: 1, liftMs: 70, share: 2 },
    { epoch: 2, liftMs: -10, share: 1 },
    { epoch: 2, liftMs: -90, share: 3 },
  ];
  const mergeAll = (sequence: typeof lifts) => {
    const entry = ledgerEntry(createLedger({ lagBoundMs: 1000 }), POOL, 'ann');
    sequence.forEach((lift) => mergeLift(entry, lift));
    return entry.lift;
  };
  assert.deepEqual(mergeAll(lifts), { epoch: 2, liftMs: -90, share: 3 });
  assert.deepEqual(mergeAll([...lifts].reverse()), { epoch: 2, liftMs: -90, share: 3 });
});

test('service that the fleet totals contain counts once', () => {
  const ledger = createLedger({ lagBoundMs: 1000 });
  chargeService(ledger, POOL, 'ann', 300);
  const entry = ledgerEntry(ledger, POOL, 'ann');
  const heard = { chargedMs: 1000, refundedMs: 0 };
  applyFleetTotals(entry, heard, { chargedMs: 200, refundedMs: 0 });
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 1100);
  applyFleetTotals(entry, heard, { chargedMs: 200, refundedMs: 0 });
  assert.equal(virtualTimeMs(ledger, POOL, 'ann', 1), 1100);
});
