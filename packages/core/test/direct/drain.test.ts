/** Guards against attempts that a draining router starts and can't end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AttemptOutcome, RefusalCode, RetryPolicy } from '../../src/direct/index.js';
import {
  createSampleRouter,
  expectRefusal,
  expectSend,
  sampleConfig,
  sampleEntry,
  sampleRoute,
} from './sample.js';
import type { SampleRouter } from './sample.js';

const GRACE_MS = 8000;
/** Requests that arrive in it aren't late, so that the estimate decides. */
const SHORT_GRACE_MS = 3700;
const stream = sampleRoute({ timeoutMs: 12_000 });
const lookup = sampleRoute({
  name: 'looks',
  streaming: false,
  retryPolicy: RetryPolicy.Any,
  timeoutMs: 12_000,
});
const order = { ...lookup, name: 'orders', retryPolicy: RetryPolicy.Never };

function createRouter(): SampleRouter {
  const entries = [sampleEntry('e1'), sampleEntry('e2')];
  return createSampleRouter(entries, sampleConfig(1, [stream, lookup, order]));
}

const startDrain = (router: SampleRouter, lengthMs = GRACE_MS) =>
  router.dispatch({ kind: 'drain-started', endsAtMs: router.now() + lengthMs });

function endAttempt(router: SampleRouter, attempt: string, outcome: AttemptOutcome) {
  return router.dispatch({ kind: 'attempt-ended', attempt, outcome, detail: '' });
}

/** Lets requests of a route run for the given times. */
function learn(router: SampleRouter, route: typeof lookup, durationsMs: number[]): void {
  durationsMs.forEach((durationMs, index) => {
    const { attempt } = expectSend(router.request(`learn-${route.name}-${index}`, { route }));
    router.advance(durationMs);
    endAttempt(router, attempt, AttemptOutcome.Complete);
  });
}

// Guards against requests that are judged when they arrive and cut when the grace period ends.
test('in the drain, requests are sent as long as their route can be expected to answer in time', () => {
  const router = createRouter();
  learn(router, lookup, Array<number>(40).fill(900));
  startDrain(router, SHORT_GRACE_MS);
  router.advance(SHORT_GRACE_MS - 1500);
  expectSend(router.request('in time', { route: lookup }));
  router.advance(700);
  const { refusal, decisionInputs } = expectRefusal(router.request('late', { route: lookup }));
  assert.deepEqual(
    [refusal.status, refusal.code, refusal.ran],
    [503, RefusalCode.ShuttingDown, 'no'],
  );
  assert.equal(decisionInputs.drainLeftMs, 800);
});

// Guards against requests whose bodies end late in the drain, which are sent by an estimate and cut though their callers could go elsewhere.
test('late in the drain, only requests that are certain to end are sent', () => {
  const router = createRouter();
  learn(router, lookup, Array<number>(40).fill(400));
  learn(router, stream, Array<number>(40).fill(400));
  startDrain(router);
  router.advance(2800);
  expectSend(router.request('early', { route: stream }));
  router.advance(700);
  for (const route of [lookup, stream]) {
    const { refusal, decisionInputs } = expectRefusal(
      router.request(`late ${route.name}`, { route }),
    );
    assert.deepEqual([refusal.status, refusal.ran], [503, 'no']);
    assert.deepEqual([decisionInputs.drainLeftMs, decisionInputs.remainingMs], [4500, 12_000]);
    const expiresAtMs = router.now() + 4400;
    expectSend(router.request(`short ${route.name}`, { route, expiresAtMs }));
  }
});

// Guards against a router that refuses everything when it is stopped before it has served anything.
test('in the drain, requests of a route without observations are sent while the oldest of them is young', () => {
  const router = createRouter();
  startDrain(router);
  const { attempt } = expectSend(router.request('first', { route: lookup }));
  router.advance(1500);
  expectSend(router.request('second', { route: lookup }));
  router.advance(200);
  expectRefusal(router.request('third', { route: lookup }));
  expectSend(router.request('short', { route: lookup, expiresAtMs: router.now() + 2000 }));
  endAttempt(router, attempt, AttemptOutcome.Complete);
  expectSend(router.request('fourth', { route: lookup }));
});

test('in the drain, a route without observations is expected to use half of it, its timeout or the deadline', () => {
  const router = createRouter();
  startDrain(router);
  router.advance(GRACE_MS / 2 + 1);
  expectRefusal(router.request('long', { route: lookup }));
  expectSend(router.request('short', { route: lookup, expiresAtMs: router.now() + 2000 }));
  expectSend(router.request('timeout', { route: { ...order, timeoutMs: 3000 } }));
  router.advance(GRACE_MS / 2 - 1001);
  expectRefusal(router.request('late', { route: lookup, expiresAtMs: router.now() + 2000 }));
});

// Guards against requests that are sent in the drain though all requests of their route have been open for long.
test('in the drain, a route whose first attempt has been open for long is refused', () => {
  const router = createRouter();
  expectSend(router.request('open', { route: order }));
  router.advance(2100);
  startDrain(router);
  expectRefusal(router.request('next', { route: order }));
  expectSend(router.request('other', { route: lookup }));
});

test('a route without observations is expected to take as long as those of its kind at the same service', () => {
  const router = createRouter();
  learn(router, lookup, Array<number>(40).fill(5000));
  startDrain(router);
  router.advance(GRACE_MS - 4500);
  expectRefusal(router.request('1', { route: order, expiresAtMs: router.now() + 10_000 }));
  const quick = createRouter();
  learn(quick, lookup, Array<number>(40).fill(20));
  startDrain(quick, SHORT_GRACE_MS);
  quick.advance(SHORT_GRACE_MS - 1000);
  expectSend(quick.request('1', { route: order, expiresAtMs: quick.now() + 10_000 }));
});

test('the durations of a route say nothing about one that streams or is served elsewhere', () => {
  const router = createRouter();
  learn(router, lookup, Array<number>(40).fill(20));
  startDrain(router, 5000);
  router.advance(2600);
  expectSend(router.request('1', { route: lookup }));
  const others = [{ route: stream }, { route: order, service: 'orders' }];
  others.forEach((attributes, index) => {
    const { refusal } = expectRefusal(router.request(`other-${index}`, attributes));
    assert.equal(refusal.code, RefusalCode.ShuttingDown);
  });
});

test('durations that vary are expected to be longer than their mean', () => {
  const router = createRouter();
  learn(
    router,
    lookup,
    Array.from({ length: 40 }, (_none, index) => (index % 2) * 2000 + 500),
  );
  startDrain(router);
  router.advance(GRACE_MS - 3000);
  expectRefusal(router.request('1', { route: lookup }));
});

// Guards against retries that are sent at the end of the grace period and cut.
test('in the drain, a request that did not run is refused if a retry can no longer end in time', () => {
  const router = createRouter();
  learn(router, order, Array<number>(40).fill(900));
  startDrain(router, SHORT_GRACE_MS);
  router.advance(SHORT_GRACE_MS - 1200);
  const first = expectSend(router.request('1', { route: order }));
  router.advance(600);
  const { refusal } = expectRefusal(endAttempt(router, first.attempt, AttemptOutcome.NotRun));
  assert.deepEqual([refusal.status, refusal.code], [503, RefusalCode.ShuttingDown]);
});

test('in the drain, a request that may have run gets an unknown outcome if a retry can no longer end in time', () => {
  const router = createRouter();
  learn(router, lookup, Array<number>(40).fill(900));
  startDrain(router, SHORT_GRACE_MS);
  router.advance(SHORT_GRACE_MS - 1200);
  const first = expectSend(router.request('1', { route: lookup }));
  router.advance(600);
  const { refusal } = expectRefusal(endAttempt(router, first.attempt, AttemptOutcome.Unknown));
  assert.deepEqual([refusal.status, refusal.ran], [502, 'unknown']);
});

// Guards against streams that go on at another server and are cut once more when the grace period ends.
test('in the drain, a stream that broke off ends at once if it can no longer end in time', () => {
  const router = createRouter();
  learn(router, stream, Array<number>(8).fill(3000));
  startDrain(router);
  const { attempt } = expectSend(router.request('1', { route: stream }));
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: '4' });
  router.advance(GRACE_MS - 2000);
  const { refusal } = expectRefusal(endAttempt(router, attempt, AttemptOutcome.Unknown));
  assert.equal(refusal.status, 502);
});

// Guards against resumed streams that wait for the records of versions in the drain and are sent once these are read.
test('in the drain, a stream that waited for the records is refused if it can no longer end in time', () => {
  const router = createRouter();
  learn(router, stream, Array<number>(8).fill(1000));
  router.dispatch({ kind: 'tick' });
  const expectedMs = router.state.runDurations.expectedMs(stream.name)!;
  router.dispatch({ kind: 'drain-started', endsAtMs: router.now() + expectedMs + 100 });
  const resume = (id: string) => router.request(id, { resumeAfter: '3', streamId: id });
  expectSend(resume('1'));
  assert.deepEqual(resume('2'), []);
  router.advance(200);
  const { request, refusal } = expectRefusal(router.dispatch({ kind: 'tick' }));
  assert.deepEqual([request, refusal.code], ['2', RefusalCode.ShuttingDown]);
});

// Guards against connections that are closed without an answer when the grace period ends.
test('requests that are open at the end of the drain are refused, as not run only if they certainly have not', () => {
  const router = createRouter();
  router.dispatch({ kind: 'tick' });
  const sent = expectSend(router.request('sent', { route: order }));
  expectSend(router.request('1', { resumeAfter: '3', streamId: '1' }));
  assert.deepEqual(router.request('waiting', { resumeAfter: '3', streamId: '2' }), []);
  const effects = router.dispatch({ kind: 'drain-ended' });
  const statuses = effects.flatMap((effect) =>
    effect.kind === 'refuse' ? [[effect.request, effect.refusal.status, effect.refusal.ran]] : [],
  );
  assert.deepEqual(statuses, [
    ['sent', 502, 'unknown'],
    ['1', 502, 'unknown'],
    ['waiting', 503, 'no'],
  ]);
  assert.ok(
    effects.some(
      ({ kind, ...rest }) =>
        kind === 'cancel' && 'attempt' in rest && rest.attempt === sent.attempt,
    ),
  );
  assert.equal(router.state.requests.size, 0);
});

test('estimates of routes that the configuration drops are removed', () => {
  const router = createRouter();
  learn(router, lookup, [20]);
  router.dispatch({ kind: 'configured', config: sampleConfig(2, [stream]) });
  assert.equal(router.state.runDurations.expectedMs(lookup.name), undefined);
});
