/** A router on a slow machine that gets most of its zone's callers: it must not take connections that it can't accept in time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLagEstimate } from '../../src/lag-estimate.js';
import { createOverloadDetector } from '../../src/overload.js';

test('an event loop that stays late is overloaded until some time after it keeps up again', () => {
  const detector = createOverloadDetector();
  for (let nowMs = 0; nowMs <= 4000; nowMs += 400) detector.observe(380, nowMs);
  assert.equal(detector.isOverloaded(4000), true);
  for (let nowMs = 4020; nowMs <= 8000; nowMs += 20) detector.observe(1, nowMs);
  // Longer than two readiness checks a second apart, so that both fail.
  assert.equal(detector.isOverloaded(6000), true);
  assert.equal(detector.isOverloaded(8000), false);
});

test('neither a single pause of seconds nor single late probes count as overload', () => {
  const detector = createOverloadDetector();
  detector.observe(3000, 0);
  detector.observe(0, 20);
  assert.equal(detector.isOverloaded(20), false);
  for (let nowMs = 100; nowMs < 5000; nowMs += 100)
    detector.observe(nowMs % 300 === 0 ? 400 : 5, nowMs);
  assert.equal(detector.isOverloaded(5000), false);
});

function lagAfter(probesMs: readonly number[]): number {
  const estimate = createLagEstimate();
  probesMs.forEach((lagMs) => estimate.observe(lagMs));
  return estimate.lagMs();
}

// Guards against: a router refuses requests as busy for half a second after a pause, although it has read all that waited.
test('a single pause counts as lag until the loop has kept up for a few probes', () => {
  assert.equal(lagAfter([0, 3500]), 3500);
  assert.ok(lagAfter([0, 3500, 40, 2]) > 1000);
  assert.equal(lagAfter([0, 3500, 40, 2, 2]), 2);
});

test('lag that stays or comes back falls slowly', () => {
  assert.ok(lagAfter([0, 400, 380, 2, 2, 2]) > 100);
  assert.ok(lagAfter([0, 400, 2, 2, 400, 2, 2]) > 100);
});

// Guards against: a router on a quarter of a core stays in rotation while its queue of new connections is full, since its loop isn't late.
test('connections that stay unaccepted are overload although the event loop is hardly late', () => {
  const detector = createOverloadDetector();
  for (let nowMs = 0; nowMs <= 600; nowMs += 20) detector.observe(60, nowMs, nowMs);
  assert.equal(detector.isOverloaded(600), true);
  for (let nowMs = 620; nowMs <= 4000; nowMs += 20) detector.observe(60, nowMs, 0);
  assert.equal(detector.isOverloaded(2800), true);
  assert.equal(detector.isOverloaded(4000), false);
});

// Guards against: a router leaves the rotation for seconds because of a queue that its refusals empty at once.
test('neither connections behind a pause nor queues that empty again count as overload', () => {
  const detector = createOverloadDetector();
  detector.observe(3000, 0);
  for (let nowMs = 20; nowMs <= 6000; nowMs += 20) {
    const waitMs = nowMs % 400;
    detector.observe(nowMs === 20 ? 300 : 0, nowMs, waitMs);
    assert.equal(detector.isOverloaded(nowMs), false);
  }
});
