import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import type { GrantCandidate, GrantScheduler } from '../../src/index.js';
import {
  Correction,
  Distance,
  chooseGrant,
  createGrantScheduler,
  recordGrant,
  recordVirtualTimeReport,
  removeGrantsToRouter,
  removePendingGrant,
} from '../../src/index.js';

function candidate(router: string, account: string, rest: Partial<GrantCandidate> = {}) {
  const base = { virtualTimeMs: 0, waiting: 10, oldestWaitMs: 0, prefixHit: false };
  return { router, account, distance: Distance.SameZone, ...base, ...rest };
}

function pick(order: GrantScheduler, candidates: GrantCandidate[], nowMs = 0): string {
  const chosen = chooseGrant(order, candidates, nowMs);
  return chosen === undefined ? 'none' : `${chosen.account}@${chosen.router}`;
}

const grant = (router: string, account: string, estimateMs = 1000) => ({
  router,
  account,
  estimateMs,
  share: 1,
});

test('the account of least virtual time goes first, ties by wait and then by name', () => {
  const order = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const ann = candidate('r1', 'ann', { virtualTimeMs: 100 });
  const ben = candidate('r1', 'ben', { virtualTimeMs: 99 });
  assert.equal(pick(order, [ann, ben]), 'ben@r1');
  assert.equal(pick(order, [{ ...ann, virtualTimeMs: 99 }, ben]), 'ann@r1');
  assert.equal(pick(order, [ann, { ...ben, virtualTimeMs: 100, oldestWaitMs: 1 }]), 'ben@r1');
  assert.equal(pick(order, []), 'none');
});

test('an account is ranked by the router that knows most of its service', () => {
  const order = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const candidates = [
    candidate('r1', 'ann', { virtualTimeMs: 500 }),
    candidate('r2', 'ann', { virtualTimeMs: 0 }),
    candidate('r2', 'ben', { virtualTimeMs: 400 }),
  ];
  assert.equal(pick(order, candidates), 'ben@r2');
});

test('each correction adds what it stands for', () => {
  const expected = {
    none: 'ann@r1',
    'own-grants': 'ben@r1',
    scaled: 'cat@r1',
    extrapolate: 'ann@r1',
  };
  Object.values(Correction).forEach((correction) => {
    const order = createGrantScheduler({ correction, ownSlots: 1, fleetSlots: 4 });
    const candidates = [
      candidate('r1', 'ann', { virtualTimeMs: 0 }),
      candidate('r1', 'ben', { virtualTimeMs: 900 }),
      candidate('r1', 'cat', { virtualTimeMs: 1500 }),
    ];
    // A second report, so that there is a rate: ann's virtual time stands still.
    recordVirtualTimeReport(order, { router: 'r1', account: 'ann', virtualTimeMs: -1 }, 0);
    recordVirtualTimeReport(order, { router: 'r1', account: 'ann', virtualTimeMs: 0 }, 1000);
    recordVirtualTimeReport(order, { router: 'r1', account: 'ben', virtualTimeMs: 900 }, 1000);
    recordGrant(order, grant('r1', 'ann'), 1000);
    if (correction === Correction.Scaled) recordGrant(order, grant('r1', 'ben', 200), 1000);
    assert.equal(pick(order, candidates, 1500), expected[correction]);
  });
});

test('a report takes back the correction of its router, but not of grants it crossed', () => {
  const order = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const candidates = [candidate('r1', 'ann'), candidate('r1', 'ben', { virtualTimeMs: 500 })];
  const report = { router: 'r1', account: 'ann', virtualTimeMs: 0, roundTripMs: 10 };
  recordGrant(order, grant('r1', 'ann'), 100);
  recordVirtualTimeReport(order, { ...report, router: 'r2' }, 200);
  recordVirtualTimeReport(order, report, 105);
  assert.equal(pick(order, candidates, 105), 'ben@r1');
  recordVirtualTimeReport(order, report, 110);
  assert.equal(pick(order, candidates, 110), 'ann@r1');
});

test('grants that came to nothing are taken back', () => {
  const order = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const candidates = [candidate('r1', 'ann', { waiting: 1 })];
  recordGrant(order, grant('r1', 'ann'), 0);
  assert.equal(pick(order, candidates), 'none');
  removePendingGrant(order, 'r1', 'ann');
  assert.equal(pick(order, candidates), 'ann@r1');
  recordGrant(order, grant('r1', 'ann'), 0);
  removeGrantsToRouter(order, 'r1');
  assert.equal(pick(order, candidates), 'ann@r1');
});

test('locality never outweighs more than its bounds', () => {
  const distances = fc.constantFrom(...Object.values(Distance));
  const arbitrary = fc.record({
    virtualTimeMs: fc.integer({ min: 0, max: 1000 }),
    distance: distances,
    prefixHit: fc.boolean(),
  });
  const order = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const boundMs =
    order.options.distancePenaltyMs[Distance.OtherRegion] + order.options.prefixBonusMs;
  fc.assert(
    fc.property(fc.array(arbitrary, { minLength: 1, maxLength: 8 }), (rest) => {
      const candidates = rest.map((fields, index) => candidate('r1', `a${index}`, fields));
      const chosen = chooseGrant(order, candidates, 0);
      const leastMs = Math.min(...candidates.map(({ virtualTimeMs }) => virtualTimeMs));
      assert.ok(chosen !== undefined && chosen.virtualTimeMs - leastMs <= boundMs);
    }),
    { seed: 31 },
  );
});
