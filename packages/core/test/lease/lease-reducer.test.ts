import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLeaseState, leaseReducer } from '../../src/index.js';
import type { EngineOrder, Lease, LeaseEffect, LeaseEvent } from '../../src/index.js';

const D = 1000;
const unchecked: EngineOrder = { id: 'load', checksFencing: false };
const checked: EngineOrder = { id: 'load', checksFencing: true };
const others: Lease = { holder: 'b', fencing: 4, durationMs: D, write: 1 };

const createHolder = () => {
  const state = createLeaseState({ name: 'engine-1', holder: 'a', durationMs: D });
  const feed = (event: LeaseEvent): LeaseEffect[] => leaseReducer(state, event).effects;
  const find = (nowMs: number, version: number, lease: Lease) =>
    feed({ kind: 'lease-read', nowMs, outcome: { code: 'found', version, lease } });
  const written = (nowMs: number, code: 'conflict' | 'failed' | 'unknown') =>
    feed({ kind: 'lease-written', nowMs, outcome: { code } });
  const confirm = (nowMs: number, version: number) =>
    feed({ kind: 'lease-written', nowMs, outcome: { code: 'ok', version } });
  const tick = (nowMs: number) => feed({ kind: 'tick', nowMs });
  const order = (nowMs: number, given: EngineOrder) => {
    const [effect] = feed({ kind: 'order', nowMs, order: given }).slice(-1);
    if (effect?.kind === 'refuse-order') return effect.code;
    return effect?.kind === 'give-order' ? effect.notAfterMs : undefined;
  };
  return { state, feed, find, written, confirm, tick, order };
};

/** A holder whose confirmed write was sent at time 0. */
const createHeld = () => {
  const holder = createHolder();
  holder.feed({ kind: 'wanted', nowMs: 0, wanted: true });
  holder.feed({ kind: 'lease-read', nowMs: 0, outcome: { code: 'absent' } });
  holder.confirm(40, 1);
  return holder;
};

test('a lease counts from when its write was sent, and orders carry its fencing number', () => {
  const { feed, order, state } = createHeld();
  assert.equal(state.heldUntilMs, D);
  assert.deepEqual(feed({ kind: 'order', nowMs: 50, order: checked }), [
    { kind: 'give-order', order: checked, fencing: 1, notAfterMs: 900 },
  ]);
  assert.equal(order(50, unchecked), 500);
});

test('a holder paused past its lease gives no order, whether or not the engine checks', () => {
  const { order } = createHeld();
  assert.equal(order(D, checked), 'lease_not_held');
  assert.equal(createHeld().order(D, unchecked), 'lease_not_held');
});

test('an engine that does not check gets no order when the lease may end on the way', () => {
  const { order } = createHeld();
  assert.equal(order(501, unchecked), 'lease_too_short');
  assert.equal(order(501, checked), 900);
  assert.equal(order(901, checked), 'lease_too_short');
});

test('a renewal whose answer came after a long pause counts from when it was sent', () => {
  const { tick, confirm, order, state } = createHeld();
  const [renewal] = tick(300);
  assert.equal(renewal?.kind === 'store-write' && renewal.version, 1);
  confirm(1400, 2);
  assert.equal(state.heldUntilMs, undefined);
  assert.equal(order(1400, checked), 'lease_not_held');
});

test("another's lease is taken over after a whole duration without change, with a higher number", () => {
  const { feed, find, tick } = createHolder();
  feed({ kind: 'wanted', nowMs: 0, wanted: true });
  assert.deepEqual(find(10, 7, others), []);
  tick(900);
  assert.deepEqual(find(905, 8, others), [], 'it was renewed meanwhile');
  tick(1880);
  assert.deepEqual(find(1904, 8, others), []);
  tick(2010);
  const [write] = find(2011, 8, others);
  assert.ok(write?.kind === 'store-write');
  assert.equal(write.version, 8);
  assert.deepEqual(write.lease, { holder: 'a', fencing: 5, durationMs: D, write: 1 });
});

test('a lease that was given back is taken at once', () => {
  const { feed, find } = createHolder();
  feed({ kind: 'wanted', nowMs: 0, wanted: true });
  const [write] = find(1, 7, { fencing: 4, durationMs: D, write: 9 });
  assert.equal(write?.kind === 'store-write' && write.lease.fencing, 5);
});

test('after a lost answer the lease is read back and counts from its write', () => {
  const { written, find, feed, state } = createHolder();
  feed({ kind: 'wanted', nowMs: 0, wanted: true });
  feed({ kind: 'lease-read', nowMs: 0, outcome: { code: 'absent' } });
  assert.deepEqual(written(100, 'unknown'), [{ kind: 'store-read', key: 'leases/engine-1' }]);
  find(200, 1, { holder: 'a', fencing: 1, durationMs: D, write: 1 });
  assert.equal(state.heldUntilMs, D);
});

test('a conflict ends the lease at once', () => {
  const { tick, written, order } = createHeld();
  tick(300);
  const kinds = written(310, 'conflict').map(({ kind }) => kind);
  assert.deepEqual(kinds, ['lease-lost', 'store-read']);
  assert.equal(order(311, checked), 'lease_not_held');
});

test('during an outage the lease runs out, then is asked for again', () => {
  const { tick, written, order, state } = createHeld();
  tick(300);
  written(310, 'failed');
  assert.equal(order(420, unchecked), 500);
  assert.deepEqual(
    tick(420).map(({ kind }) => kind),
    ['store-write'],
  );
  written(430, 'failed');
  assert.deepEqual(
    tick(1000).map(({ kind }) => kind),
    ['lease-lost', 'store-read'],
  );
  assert.equal(state.heldUntilMs, undefined);
});

test('a lease that is no longer wanted is given back', () => {
  const { feed, confirm, state } = createHeld();
  const effects = feed({ kind: 'wanted', nowMs: 100, wanted: false });
  assert.deepEqual(
    effects.map(({ kind }) => kind),
    ['lease-lost', 'store-write'],
  );
  assert.equal(effects[1]?.kind === 'store-write' && effects[1].lease.holder, undefined);
  confirm(110, 2);
  assert.equal(state.phase, 'idle');
});
