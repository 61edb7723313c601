import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';

import { startSmallFleet, until } from './small-fleet.js';
import type { Answer, Call, SmallFleet } from './small-fleet.js';

const OUTAGE_MS = 60_000;

let fleet: SmallFleet;
before(async () => {
  fleet = await startSmallFleet();
});
after(() => fleet.close());
afterEach(() => fleet.platform.faults.clear());

const runsOf = (path: string) => fleet.app.journal().filter((run) => run.path === path);

/** Repeats a call until its earlier request is no longer in progress. */
const repeat = async (index: 0 | 1, call: Call): Promise<Answer> => {
  let answer: Answer | undefined;
  await until(async () => {
    answer = await fleet.routers[index].call(call);
    return answer.code !== 'in_progress';
  });
  return answer!;
};

test('a repeat through another router, while running and after, never runs again', async () => {
  const call = { key: 'k-repeat', path: '/repeat', workMs: 300 };
  const first = fleet.routers[0].call(call);
  await until(() => runsOf('/repeat').length > 0);
  const early = await fleet.routers[1].call(call);
  assert.deepEqual(
    [early.status, early.code, early.ran, early.retryAfter],
    [409, 'in_progress', 'unknown', true],
  );
  const { status, text } = await first;
  assert.equal(status, 200);
  const late = await repeat(1, call);
  assert.deepEqual([late.status, late.replayed, late.text], [200, true, text]);
  assert.equal(runsOf('/repeat').length, 1);
});

test('requests with one key that arrive together run once', async () => {
  const call = { key: 'k-race', path: '/race', workMs: 20 };
  const answers = await Promise.all([0, 1, 0, 1].map((i) => fleet.routers[i]!.call(call)));
  assert.equal(runsOf('/race').length, 1);
  answers.forEach(({ status, code }) => assert.ok(status === 200 || code === 'in_progress'));
  assert.equal((await repeat(0, call)).status, 200);
  assert.equal(runsOf('/race').length, 1);
});

test('a key is of one client account and one request', async () => {
  const call = { key: 'k-reused', path: '/reused' };
  assert.equal((await fleet.routers[0].call(call)).status, 200);
  const other = await fleet.routers[1].call({ ...call, body: 'two bolts' });
  assert.deepEqual([other.status, other.code, other.ran], [422, 'idempotency_key_reused', 'no']);
  const account = await fleet.routers[1].call({ ...call, apiKey: 'other-key' });
  assert.deepEqual([account.status, account.replayed], [200, false]);
  const empty = await fleet.routers[0].call({ ...call, key: '' });
  assert.deepEqual([empty.status, empty.code], [400, 'invalid_idempotency_key']);
});

test('a request whose caller leaves runs to its end, and its repeat gets the answer', async () => {
  const caller = new AbortController();
  const call = { key: 'k-gone', path: '/gone', workMs: 200 };
  const first = fleet.routers[0].call({ ...call, signal: caller.signal });
  await until(() => runsOf('/gone').length > 0);
  caller.abort();
  await assert.rejects(first);
  const late = await repeat(1, call);
  assert.deepEqual([late.status, late.replayed], [200, true]);
  assert.deepEqual(
    runsOf('/gone').map(({ outcome }) => outcome),
    ['finished'],
  );
});

test('while the object service is down, a request is refused as not run', async () => {
  const { faults } = fleet.platform;
  const call = { key: 'k-outage', path: '/outage' };
  faults.add({ kind: 'outage', durationMs: OUTAGE_MS });
  const unread = await fleet.routers[0].call(call);
  faults.clear();
  faults.add({ kind: 'outage', durationMs: OUTAGE_MS, role: 'writes' });
  const unwritten = await fleet.routers[0].call(call);
  [unread, unwritten].forEach((answer) => {
    assert.deepEqual(
      [answer.status, answer.code, answer.ran, answer.retryAfter],
      [503, 'claim_store_unavailable', 'no', true],
    );
  });
  assert.equal(runsOf('/outage').length, 0);
  faults.clear();
  assert.equal((await repeat(1, call)).status, 200);
  assert.equal(runsOf('/outage').length, 1);
});

test('an answer that can not be recorded is fetched from the sidecar', async () => {
  const { faults } = fleet.platform;
  const call = { key: 'k-unrecorded', path: '/unrecorded', workMs: 200 };
  const first = fleet.routers[0].call(call);
  await until(() => runsOf('/unrecorded').length > 0);
  faults.add({ kind: 'outage', durationMs: OUTAGE_MS, role: 'writes' });
  const { text } = await first;
  const late = await repeat(1, call);
  assert.deepEqual([late.status, late.replayed, late.text], [200, true, text]);
  assert.equal(runsOf('/unrecorded').length, 1);
});

test('lost answers to the writes of a claim are resolved by reading back', async () => {
  const call = { key: 'k-lost', path: '/lost' };
  fleet.platform.faults.add({ kind: 'lose-answers', durationMs: OUTAGE_MS });
  const first = await fleet.routers[0].call(call);
  assert.equal(first.status, 200);
  fleet.platform.faults.clear();
  assert.equal((await repeat(1, call)).text, first.text);
  assert.equal(runsOf('/lost').length, 1);
});

// Last, as one router is gone afterwards.
test('after its router was killed, a running request is not run again', async () => {
  const call = { key: 'k-killed', path: '/killed', workMs: 300 };
  const first = fleet.routers[0].call(call);
  const broken = assert.rejects(first);
  await until(() => runsOf('/killed').length > 0);
  await fleet.kill(fleet.routers[0]);
  await broken;
  const late = await repeat(1, call);
  assert.deepEqual([late.status, late.replayed], [200, true]);
  assert.equal(runsOf('/killed').length, 1);
});
