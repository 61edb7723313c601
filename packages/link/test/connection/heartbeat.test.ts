import assert from 'node:assert/strict';
import { test } from 'node:test';
import { frameBytes } from '../../src/connection/frame-bytes.js';
import { checkHeartbeat } from '../../src/connection/heartbeat.js';

const timing = { heartbeatIntervalMs: 1000, heartbeatTimeoutMs: 3000 };

test('the heartbeat times out once nothing was received for longer than the limit', () => {
  const state = { lastReceivedMs: 0, lastCheckMs: 2000 };
  assert.equal(checkHeartbeat(state, 3000, timing).timedOut, false);
  assert.equal(checkHeartbeat(state, 3001, timing).timedOut, true);
});

test('a pause of this process restarts the heartbeat timeout', () => {
  const resumed = checkHeartbeat({ lastReceivedMs: 900, lastCheckMs: 1000 }, 60_000, timing);
  assert.equal(resumed.timedOut, false);
  let { state } = resumed;
  for (const nowMs of [61_000, 62_000, 63_000]) {
    const check = checkHeartbeat(state, nowMs, timing);
    assert.equal(check.timedOut, false);
    state = check.state;
  }
  assert.equal(checkHeartbeat(state, 64_000, timing).timedOut, true);
});

test('frame sizes include the header for each of the three length encodings', () => {
  assert.deepEqual(
    [125, 126, 65_535, 65_536].map((bytes) => frameBytes(bytes, false) - bytes),
    [2, 4, 4, 10],
  );
  assert.equal(frameBytes(10, true), 16);
});
