import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLeaseState, leaseReducer } from '../../src/index.js';
import type { EngineOrder, Lease, LeaseEffect, LeaseEvent } from '../../src/index.js';

const DURATION_MS = 1000;
const unfencedOrder: EngineOrder = { id: 'load', checksFencing: false };
const fencedOrder: EngineOrder = { id: 'load', checksFencing: true };
const foreignLease: Lease = { holder: 'b', fencing: 4, durationMs: DURATION_MS, write: 1 };

const createTestLease = () => {
  const state = createLeaseState({ name: 'engine-1', holder: 'a', durationMs: DURATION_MS });
  const feed = (event: LeaseEvent): LeaseEffect[] => leaseReducer(state, event).effects;
  const readFound = (nowMs: number, version: number, lease: Lease) =>
    feed({ kind: 'lease-read', nowMs, outcome: { code: 'found', version, lease } });
  const failWrite = (nowMs: number, code: 'conflict' | 'failed' | 'unknown') =>
    feed({ kind: 'lease-written', nowMs, outcome: { code } });
  const confirmWrite = (nowMs: number, version: number) =>
    feed({ kind: 'lease-written', nowMs, outcome: { code: 'ok', version } });
  const tick = (nowMs: number) => feed({ kind: 'tick', nowMs });
  const requestOrder = (nowMs: number, given: EngineOrder) => {
    const [effect] = feed({ kind: 'order', nowMs, order: given }).slice(-1);
    if (effect?.kind === 'refuse-order') return effect.code;
    return effect?.kind === 'give-order' ? effect.notAfterMs : undefined;
  };
  return { state, feed, readFound, failWrite, confirmWrite, tick, requestOrder };
};

/** Creates a lease that is held through a confirmed write sent at time 0. */
const createHeldLease = () => {
  const holder = createTestLease();
  holder.feed({ kind: 'wanted', nowMs: 0, wanted: true });
  holder.feed({ kind: 'lease-read', nowMs: 0, outcome: { code: 'absent' } });
  holder.confirmWrite(40, 1);
  return holder;
};

test('a lease starts when its write was sent, and orders carry its fencing number', () => {
  const { feed, requestOrder, state } = createHeldLease();
  assert.equal(state.heldUntilMs, DURATION_MS);
  assert.deepEqual(feed({ kind: 'order', nowMs: 50, order: fencedOrder }), [
    { kind: 'give-order', order: fencedOrder, fencing: 1, notAfterMs: 900 },
  ]);
  assert.equal(requestOrder(50, unfencedOrder), 500);
});

test('a holder gives no order after its lease has expired, whether or not the engine checks fencing numbers', () => {
  const { requestOrder } = createHeldLease();
  assert.equal(requestOrder(DURATION_MS, fencedOrder), 'lease_not_held');
  assert.equal(createHeldLease().requestOrder(DURATION_MS, unfencedOrder), 'lease_not_held');
});

test('an engine that does not check fencing numbers gets no order if the lease may expire before delivery', () => {
  const { requestOrder } = createHeldLease();
  assert.equal(requestOrder(501, unfencedOrder), 'lease_too_short');
  assert.equal(requestOrder(501, fencedOrder), 900);
  assert.equal(requestOrder(901, fencedOrder), 'lease_too_short');
});

test('a renewal confirmed after a long pause still starts when it was sent', () => {
  const { tick, confirmWrite, requestOrder, state } = createHeldLease();
  const [renewal] = tick(300);
  assert.equal(renewal?.kind === 'store-write' && renewal.version, 1);
  confirmWrite(1400, 2);
  assert.equal(state.heldUntilMs, undefined);
  assert.equal(requestOrder(1400, fencedOrder), 'lease_not_held');
});

test('the lease of another holder is taken over with a higher fencing number after a whole duration without change', () => {
  const { feed, readFound, tick } = createTestLease();
  feed({ kind: 'wanted', nowMs: 0, wanted: true });
  assert.deepEqual(readFound(10, 7, foreignLease), []);
  tick(900);
  assert.deepEqual(readFound(905, 8, foreignLease), [], 'the other holder has renewed the lease');
  tick(1880);
  assert.deepEqual(readFound(1904, 8, foreignLease), []);
  tick(2010);
  const [write] = readFound(2011, 8, foreignLease);
  assert.ok(write?.kind === 'store-write');
  assert.equal(write.version, 8);
  assert.deepEqual(write.lease, { holder: 'a', fencing: 5, durationMs: DURATION_MS, write: 1 });
});

test('a released lease is acquired immediately', () => {
  const { feed, readFound } = createTestLease();
  feed({ kind: 'wanted', nowMs: 0, wanted: true });
  const [write] = readFound(1, 7, { fencing: 4, durationMs: DURATION_MS, write: 9 });
  assert.equal(write?.kind === 'store-write' && write.lease.fencing, 5);
});

test('after a lost response the lease is read back and starts when its write was sent', () => {
  const { failWrite, readFound, feed, state } = createTestLease();
  feed({ kind: 'wanted', nowMs: 0, wanted: true });
  feed({ kind: 'lease-read', nowMs: 0, outcome: { code: 'absent' } });
  assert.deepEqual(failWrite(100, 'unknown'), [{ kind: 'store-read', key: 'leases/engine-1' }]);
  readFound(200, 1, { holder: 'a', fencing: 1, durationMs: DURATION_MS, write: 1 });
  assert.equal(state.heldUntilMs, DURATION_MS);
});

test('a conflict ends the lease immediately', () => {
  const { tick, failWrite, requestOrder } = createHeldLease();
  tick(300);
  const kinds = failWrite(310, 'conflict').map(({ kind }) => kind);
  assert.deepEqual(kinds, ['lease-lost', 'store-read']);
  assert.equal(requestOrder(311, fencedOrder), 'lease_not_held');
});

test('during an outage of the object service the lease expires and is then read again', () => {
  const { tick, failWrite, requestOrder, state } = createHeldLease();
  tick(300);
  failWrite(310, 'failed');
  assert.equal(requestOrder(420, unfencedOrder), 500);
  assert.deepEqual(
    tick(420).map(({ kind }) => kind),
    ['store-write'],
  );
  failWrite(430, 'failed');
  assert.deepEqual(
    tick(1000).map(({ kind }) => kind),
    ['lease-lost', 'store-read'],
  );
  assert.equal(state.heldUntilMs, undefined);
});

test('a lease that is no longer needed is released', () => {
  const { feed, confirmWrite, state } = createHeldLease();
  const effects = feed({ kind: 'wanted', nowMs: 100, wanted: false });
  assert.deepEqual(
    effects.map(({ kind }) => kind),
    ['lease-lost', 'store-write'],
  );
  assert.equal(effects[1]?.kind === 'store-write' && effects[1].lease.holder, undefined);
  confirmWrite(110, 2);
  assert.equal(state.phase, 'idle');
});
