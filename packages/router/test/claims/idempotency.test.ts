import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';

import { startSmallFleet, waitUntil } from './small-fleet.js';
import type { Call, CallResult, SmallFleet } from './small-fleet.js';

const OUTAGE_MS = 60_000;

let fleet: SmallFleet;
before(async () => {
  fleet = await startSmallFleet();
});
after(() => fleet.close());
afterEach(() => fleet.platform.faults.clear());

const runsOf = (path: string) => fleet.app.journal().filter((run) => run.path === path);

/** Sends a call again until its earlier request is no longer in progress. */
const repeatCall = async (routerIndex: 0 | 1, call: Call): Promise<CallResult> => {
  let result: CallResult | undefined;
  await waitUntil(async () => {
    result = await fleet.routers[routerIndex].call(call);
    return result.code !== 'in_progress';
  });
  return result!;
};

test('does not run a request again when it is repeated through another router during or after its run', async () => {
  const call = { key: 'k-repeat', path: '/repeat', workMs: 300 };
  const first = fleet.routers[0].call(call);
  await waitUntil(() => runsOf('/repeat').length > 0);
  const duringRun = await fleet.routers[1].call(call);
  assert.deepEqual(
    [duringRun.status, duringRun.code, duringRun.ran, duringRun.retryAfter],
    [409, 'in_progress', 'unknown', true],
  );
  const { status, text } = await first;
  assert.equal(status, 200);
  const repeated = await repeatCall(1, call);
  assert.deepEqual([repeated.status, repeated.replayed, repeated.text], [200, true, text]);
  assert.equal(runsOf('/repeat').length, 1);
});

test('runs concurrent requests with the same key once', async () => {
  const call = { key: 'k-race', path: '/race', workMs: 20 };
  const results = await Promise.all([0, 1, 0, 1].map((i) => fleet.routers[i]!.call(call)));
  assert.equal(runsOf('/race').length, 1);
  results.forEach(({ status, code }) => assert.ok(status === 200 || code === 'in_progress'));
  assert.equal((await repeatCall(0, call)).status, 200);
  assert.equal(runsOf('/race').length, 1);
});

test('scopes a key to one client account and one request', async () => {
  const call = { key: 'k-reused', path: '/reused' };
  assert.equal((await fleet.routers[0].call(call)).status, 200);
  const other = await fleet.routers[1].call({ ...call, body: 'two bolts' });
  assert.deepEqual([other.status, other.code, other.ran], [422, 'idempotency_key_reused', 'no']);
  const account = await fleet.routers[1].call({ ...call, apiKey: 'other-key' });
  assert.deepEqual([account.status, account.replayed], [200, false]);
  const empty = await fleet.routers[0].call({ ...call, key: '' });
  assert.deepEqual([empty.status, empty.code], [400, 'invalid_idempotency_key']);
});

test('completes a request whose caller disconnects, and replays its response to a repeat', async () => {
  const caller = new AbortController();
  const call = { key: 'k-gone', path: '/gone', workMs: 200 };
  const first = fleet.routers[0].call({ ...call, signal: caller.signal });
  await waitUntil(() => runsOf('/gone').length > 0);
  caller.abort();
  await assert.rejects(first);
  const repeated = await repeatCall(1, call);
  assert.deepEqual([repeated.status, repeated.replayed], [200, true]);
  assert.deepEqual(
    runsOf('/gone').map(({ outcome }) => outcome),
    ['finished'],
  );
});

test('refuses a request as not run while the object service is unavailable', async () => {
  const { faults } = fleet.platform;
  const call = { key: 'k-outage', path: '/outage' };
  faults.add({ kind: 'outage', durationMs: OUTAGE_MS });
  const readFailed = await fleet.routers[0].call(call);
  faults.clear();
  faults.add({ kind: 'outage', durationMs: OUTAGE_MS, role: 'writes' });
  const writeFailed = await fleet.routers[0].call(call);
  [readFailed, writeFailed].forEach((result) => {
    assert.deepEqual(
      [result.status, result.code, result.ran, result.retryAfter],
      [503, 'claim_store_unavailable', 'no', true],
    );
  });
  assert.equal(runsOf('/outage').length, 0);
  faults.clear();
  assert.equal((await repeatCall(1, call)).status, 200);
  assert.equal(runsOf('/outage').length, 1);
});

test('fetches a response that could not be recorded from the sidecar', async () => {
  const { faults } = fleet.platform;
  const call = { key: 'k-unrecorded', path: '/unrecorded', workMs: 200 };
  const first = fleet.routers[0].call(call);
  await waitUntil(() => runsOf('/unrecorded').length > 0);
  faults.add({ kind: 'outage', durationMs: OUTAGE_MS, role: 'writes' });
  const { text } = await first;
  const repeated = await repeatCall(1, call);
  assert.deepEqual([repeated.status, repeated.replayed, repeated.text], [200, true, text]);
  assert.equal(runsOf('/unrecorded').length, 1);
});

test('resolves lost responses to claim writes by reading the claim back', async () => {
  const call = { key: 'k-lost', path: '/lost' };
  fleet.platform.faults.add({ kind: 'lose-answers', durationMs: OUTAGE_MS });
  const first = await fleet.routers[0].call(call);
  assert.equal(first.status, 200);
  fleet.platform.faults.clear();
  assert.equal((await repeatCall(1, call)).text, first.text);
  assert.equal(runsOf('/lost').length, 1);
});

// Must be the last test, as it stops one router.
test('does not run a request again after its router stopped without draining', async () => {
  const call = { key: 'k-killed', path: '/killed', workMs: 300 };
  const first = fleet.routers[0].call(call);
  const broken = assert.rejects(first);
  await waitUntil(() => runsOf('/killed').length > 0);
  await fleet.kill(fleet.routers[0]);
  await broken;
  const repeated = await repeatCall(1, call);
  assert.deepEqual([repeated.status, repeated.replayed], [200, true]);
  assert.equal(runsOf('/killed').length, 1);
});
