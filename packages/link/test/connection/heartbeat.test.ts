import assert from 'node:assert/strict';
import { test } from 'node:test';
import { frameBytes } from '../../src/connection/frame-bytes.js';
import { checkHeartbeat } from '../../src/connection/heartbeat.js';

const times = { heartbeatIntervalMs: 1000, heartbeatTimeoutMs: 3000 };

test('a peer counts as gone once it was silent for longer than the limit', () => {
  const state = { lastReceivedMs: 0, lastCheckMs: 2000 };
  assert.equal(checkHeartbeat(state, 3000, times).timedOut, false);
  assert.equal(checkHeartbeat(state, 3001, times).timedOut, true);
});

test('after a pause of this process the silence counts anew', () => {
  const resumed = checkHeartbeat({ lastReceivedMs: 900, lastCheckMs: 1000 }, 60_000, times);
  assert.equal(resumed.timedOut, false);
  let { state } = resumed;
  for (const nowMs of [61_000, 62_000, 63_000]) {
    const checked = checkHeartbeat(state, nowMs, times);
    assert.equal(checked.timedOut, false);
    state = checked.state;
  }
  assert.equal(checkHeartbeat(state, 64_000, times).timedOut, true);
});

test('frame sizes follow the three forms of the length', () => {
  assert.deepEqual(
    [125, 126, 65_535, 65_536].map((bytes) => frameBytes(bytes, false) - bytes),
    [2, 4, 4, 10],
  );
  assert.equal(frameBytes(10, true), 16);
});
