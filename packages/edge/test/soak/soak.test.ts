/** The soak in short, and that each of its checks can fail. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '@kingcupsill/bench';
import { answerBody, STREAM_EVENTS, streamEvent } from './backends.js';
import { drawSchedule, FAULT_KINDS } from './faults.js';
import { findBreaches, findWorkAfterLeaving } from './promises.js';
import { runSoak } from './run-soak.js';
import { RouteKind } from './types.js';
import type { Call, Disturbance, Run } from './types.js';

const ID = 'c1';

function call(overrides: Partial<Call> = {}): Call {
  const kind = overrides.kind ?? RouteKind.Once;
  const path = `/${kind}/1`;
  return {
    attemptId: ID,
    kind,
    path,
    router: 'router-0#1',
    sentAtMs: 1000,
    endedAtMs: 1100,
    status: 200,
    headers: { 'response-signature': 'signed', 'attempt-id': ID },
    body: answerBody(ID, path),
    whole: true,
    ...overrides,
  };
}

const run: Run = { attemptId: ID, server: 'i-0', atMs: 1050 };

function promisesBroken(one: Call, runs: Run[] = [run], spans: Disturbance[] = []): string[] {
  const disturbances = new Map([['router-0', spans]]);
  const seen = { calls: [one], runs, disturbances, storeDisturbances: [], leavings: [] };
  return findBreaches(seen).map(({ promise }) => promise);
}

test('a right answer breaks no promise', () => {
  const body = Array.from({ length: STREAM_EVENTS }, (_none, index) => streamEvent(ID, index + 1));
  assert.deepEqual(promisesBroken(call()), []);
  assert.deepEqual(promisesBroken(call({ kind: RouteKind.Talk, body: body.join('') })), []);
});

test('each promise that is broken is found', () => {
  const rejected = { status: 503, body: '', headers: { 'retry-after': '1' } };
  const cases: [string, Call, Run[]?][] = [
    ['whole answers', call({ body: answerBody('c2', '/once/1') })],
    ['whole answers', call({ body: answerBody(ID, '/once/1').slice(0, 9) })],
    ['whole answers', call({ headers: { 'attempt-id': ID } })],
    ['whole answers', call({ headers: { 'response-signature': 'signed', 'attempt-id': 'c2' } })],
    ['whole answers', call({ kind: RouteKind.Talk, body: streamEvent(ID, 2), whole: false })],
    ['nothing allowed is denied', call({ status: 404 })],
    ['rejections say when to come back', call({ ...rejected, headers: {} }), []],
    ['requests end in time', call({ endedAtMs: 6000 })],
    ['answers are not cut', call({ status: undefined })],
    ['at most one run', call(), [run, run]],
    ['not run is true', call(rejected)],
  ];
  cases.forEach(([promise, one, runs]) => assert.deepEqual(promisesBroken(one, runs), [promise]));
});

test('a router that was killed meanwhile may cut its answers', () => {
  const span = { fromMs: 1040, untilMs: 1500 };
  assert.deepEqual(promisesBroken(call({ status: undefined }), [run], [span]), []);
});

test('work of a server that left is found after its bound, unless the router could not know', () => {
  const leavings = [{ server: 'i-0', fromMs: 1000, untilMs: 9000 }];
  const find = (sentAtMs: number, storeDisturbances: Disturbance[] = []) =>
    findWorkAfterLeaving({
      calls: [call({ sentAtMs })],
      runs: [{ ...run, atMs: sentAtMs + 10 }],
      disturbances: new Map(),
      storeDisturbances,
      leavings,
    }).length;
  assert.equal(find(3400), 0);
  assert.equal(find(3600), 1);
  assert.equal(find(3600, [{ fromMs: 2000, untilMs: 2100 }]), 0);
  assert.equal(find(9100), 0);
});

test('a seed draws the same faults again, and all kinds come', () => {
  const draw = (seed: number) => drawSchedule(createRandom(seed, 'faults'), 600_000);
  assert.deepEqual(draw(5), draw(5));
  assert.notDeepEqual(draw(5), draw(6));
  assert.equal(new Set(draw(5).map(({ kind }) => kind)).size, FAULT_KINDS.length);
});

test('a short run of a seed keeps every promise', { timeout: 90_000 }, async () => {
  const { breaches, served, requests } = await runSoak({ seed: 1, lengthMs: 8000, callers: 12 });
  assert.deepEqual(breaches, []);
  assert.ok(served > requests / 2, `${served} of ${requests} served`);
});
