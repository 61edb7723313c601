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

function createCandidate(router: string, account: string, overrides: Partial<GrantCandidate> = {}) {
  const defaults = { virtualTimeMs: 0, waiting: 10, oldestWaitMs: 0, prefixHit: false };
  return { router, account, distance: Distance.SameZone, ...defaults, ...overrides };
}

function chosenName(scheduler: GrantScheduler, candidates: GrantCandidate[], nowMs = 0): string {
  const chosen = chooseGrant(scheduler, candidates, nowMs);
  return chosen === undefined ? 'none' : `${chosen.account}@${chosen.router}`;
}

const createGrant = (router: string, account: string, estimateMs = 1000) => ({
  router,
  account,
  estimateMs,
  share: 1,
});

test('grants to the account with the lowest virtual time, ties by wait and then by name', () => {
  const scheduler = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const ann = createCandidate('r1', 'ann', { virtualTimeMs: 100 });
  const ben = createCandidate('r1', 'ben', { virtualTimeMs: 99 });
  assert.equal(chosenName(scheduler, [ann, ben]), 'ben@r1');
  assert.equal(chosenName(scheduler, [{ ...ann, virtualTimeMs: 99 }, ben]), 'ann@r1');
  assert.equal(
    chosenName(scheduler, [ann, { ...ben, virtualTimeMs: 100, oldestWaitMs: 1 }]),
    'ben@r1',
  );
  assert.equal(chosenName(scheduler, []), 'none');
});

test('ranks an account by the highest virtual time that any router reports', () => {
  const scheduler = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const candidates = [
    createCandidate('r1', 'ann', { virtualTimeMs: 500 }),
    createCandidate('r2', 'ann', { virtualTimeMs: 0 }),
    createCandidate('r2', 'ben', { virtualTimeMs: 400 }),
  ];
  assert.equal(chosenName(scheduler, candidates), 'ben@r2');
});

test('each correction method adds its estimate', () => {
  const expected = {
    none: 'ann@r1',
    'own-grants': 'ben@r1',
    scaled: 'cat@r1',
    extrapolate: 'ann@r1',
  };
  Object.values(Correction).forEach((correction) => {
    const scheduler = createGrantScheduler({ correction, ownSlots: 1, fleetSlots: 4 });
    const candidates = [
      createCandidate('r1', 'ann', { virtualTimeMs: 0 }),
      createCandidate('r1', 'ben', { virtualTimeMs: 900 }),
      createCandidate('r1', 'cat', { virtualTimeMs: 1500 }),
    ];
    // Extrapolation needs two reports to compute a rate; ann's virtual time grows by only 1 ms in 1000 ms.
    recordVirtualTimeReport(scheduler, { router: 'r1', account: 'ann', virtualTimeMs: -1 }, 0);
    recordVirtualTimeReport(scheduler, { router: 'r1', account: 'ann', virtualTimeMs: 0 }, 1000);
    recordVirtualTimeReport(scheduler, { router: 'r1', account: 'ben', virtualTimeMs: 900 }, 1000);
    recordGrant(scheduler, createGrant('r1', 'ann'), 1000);
    if (correction === Correction.Scaled)
      recordGrant(scheduler, createGrant('r1', 'ben', 200), 1000);
    assert.equal(chosenName(scheduler, candidates, 1500), expected[correction]);
  });
});

test('a report removes the pending grants to its router, except those that it crossed', () => {
  const scheduler = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const candidates = [
    createCandidate('r1', 'ann'),
    createCandidate('r1', 'ben', { virtualTimeMs: 500 }),
  ];
  const report = { router: 'r1', account: 'ann', virtualTimeMs: 0, roundTripMs: 10 };
  recordGrant(scheduler, createGrant('r1', 'ann'), 100);
  recordVirtualTimeReport(scheduler, { ...report, router: 'r2' }, 200);
  recordVirtualTimeReport(scheduler, report, 105);
  assert.equal(chosenName(scheduler, candidates, 105), 'ben@r1');
  recordVirtualTimeReport(scheduler, report, 110);
  assert.equal(chosenName(scheduler, candidates, 110), 'ann@r1');
});

test('removed grants no longer count as pending', () => {
  const scheduler = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const candidates = [createCandidate('r1', 'ann', { waiting: 1 })];
  recordGrant(scheduler, createGrant('r1', 'ann'), 0);
  assert.equal(chosenName(scheduler, candidates), 'none');
  removePendingGrant(scheduler, 'r1', 'ann');
  assert.equal(chosenName(scheduler, candidates), 'ann@r1');
  recordGrant(scheduler, createGrant('r1', 'ann'), 0);
  removeGrantsToRouter(scheduler, 'r1');
  assert.equal(chosenName(scheduler, candidates), 'ann@r1');
});

test('locality changes the order by at most its bounds', () => {
  const distances = fc.constantFrom(...Object.values(Distance));
  const candidateFields = fc.record({
    virtualTimeMs: fc.integer({ min: 0, max: 1000 }),
    distance: distances,
    prefixHit: fc.boolean(),
  });
  const scheduler = createGrantScheduler({ ownSlots: 1, fleetSlots: 1 });
  const boundMs =
    scheduler.options.distancePenaltyMs[Distance.OtherRegion] + scheduler.options.prefixBonusMs;
  fc.assert(
    fc.property(fc.array(candidateFields, { minLength: 1, maxLength: 8 }), (fieldSets) => {
      const candidates = fieldSets.map((fields, index) =>
        createCandidate('r1', `a${index}`, fields),
      );
      const chosen = chooseGrant(scheduler, candidates, 0);
      const minVirtualTimeMs = Math.min(...candidates.map(({ virtualTimeMs }) => virtualTimeMs));
      assert.ok(chosen !== undefined && chosen.virtualTimeMs - minVirtualTimeMs <= boundMs);
    }),
    { seed: 31 },
  );
});
