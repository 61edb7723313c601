/** Guards against requests that wait for their deadlines on connections that have gone silent while their servers answer others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryPolicy } from '../../src/direct/index.js';
import type { DirectEffect } from '../../src/direct/index.js';
import { createSampleRouter, expectSend, sampleEntry, sampleRoute } from './sample.js';
import type { SampleRouter } from './sample.js';

const patient = { streaming: false, objectiveMs: 9000 };
const route = sampleRoute({ ...patient, name: 'looks', retryPolicy: RetryPolicy.Any });
const streaming = sampleRoute({ objectiveMs: 9000 });
const unsafe = sampleRoute({ ...patient, name: 'orders', retryPolicy: RetryPolicy.Never });

/** Sends a request, whose answer begins after `delayMs`. */
function answer(router: SampleRouter, id: string, sentRoute = route, delayMs = 20): void {
  const { attempt } = expectSend(router.request(id, { route: sentRoute }));
  router.advance(delayMs);
  router.dispatch({ kind: 'attempt-begun', attempt });
}

const createOneServerRouter = (): SampleRouter => createSampleRouter([sampleEntry('e1')]);

function tickAfter(router: SampleRouter, ms: number): DirectEffect[] {
  router.advance(ms);
  return router.dispatch({ kind: 'tick' }).filter(({ kind }) => kind === 'examine-connection');
}

test('the connection of an unanswered attempt is examined until it is silent, if its server has answered a later one', () => {
  const router = createOneServerRouter();
  answer(router, '1');
  const { attempt } = expectSend(router.request('2', { route: unsafe }));
  router.advance(50);
  answer(router, '3', unsafe);
  const examination = [{ kind: 'examine-connection', attempt }];
  assert.deepEqual(tickAfter(router, 2000), examination);
  assert.deepEqual(tickAfter(router, 50), []);
  assert.deepEqual(tickAfter(router, 250), examination);
  router.dispatch({ kind: 'connection-silent', attempt });
  assert.deepEqual(tickAfter(router, 1000), []);
});

test('no connection is examined while the whole server is quiet', () => {
  const router = createOneServerRouter();
  answer(router, '1');
  const { attempt } = expectSend(router.request('2', { route }));
  assert.deepEqual(tickAfter(router, 2000), []);
  answer(router, '3', streaming);
  answer(router, '4', streaming);
  for (const request of ['3', '4', '3', '4']) {
    router.advance(20);
    router.dispatch({ kind: 'events-delivered', request, lastEventId: '1' });
  }
  // Of the streams, none has been quiet for longer than the other; the earlier request has been overtaken by both.
  assert.deepEqual(tickAfter(router, 2000), [{ kind: 'examine-connection', attempt }]);
});

test('a stream that stops while its server delivers others goes on behind its last event at the same server', () => {
  const router = createSampleRouter();
  const deliver = (request: string, lastEventId: string): DirectEffect[] =>
    router.dispatch({ kind: 'events-delivered', request, lastEventId });
  const first = expectSend(router.request('1', { route: streaming }));
  router.dispatch({ kind: 'attempt-begun', attempt: first.attempt });
  answer(router, '2', streaming);
  const examined = Array.from({ length: 30 }, (_none, index) => {
    if (index < 5) deliver('1', `${index}`);
    deliver('2', `${index}`);
    return tickAfter(router, 40);
  });
  const firstExamination = [{ kind: 'examine-connection', attempt: first.attempt }];
  assert.deepEqual(
    examined.find((effects) => effects.length > 0),
    firstExamination,
  );
  const again = expectSend(router.dispatch({ kind: 'connection-silent', attempt: first.attempt }));
  assert.deepEqual([again.serverKey, again.lastEventId], [first.serverKey, '4']);
});

test('an attempt of a route whose answers take long is left alone for as long', () => {
  const router = createOneServerRouter();
  for (const id of ['1', '2', '3']) answer(router, id, route, 1500);
  expectSend(router.request('4', { route }));
  router.advance(50);
  answer(router, '5');
  assert.deepEqual(tickAfter(router, 2000), []);
});

test('a request that may be repeated is sent again, any other one is left to wait', () => {
  for (const [sentRoute, kinds] of [
    [route, ['cancel', 'send']],
    [unsafe, []],
  ] as const) {
    const router = createSampleRouter();
    const { attempt, serverKey } = expectSend(router.request('1', { route: sentRoute }));
    const effects = router.dispatch({ kind: 'connection-silent', attempt });
    assert.deepEqual(
      effects.map(({ kind }) => kind),
      kinds,
    );
    // The server has not failed: it gets further requests.
    assert.equal(router.state.servers.get(serverKey)!.health.failureRate(router.now()), 0);
    assert.equal(router.state.attempts.size, 1);
    assert.deepEqual(router.dispatch({ kind: 'connection-silent', attempt }), []);
  }
});

test('a request is left to wait if its route allows no further run or the budget no further retry', () => {
  const router = createSampleRouter();
  const once = { ...route, maxAttempts: 1 };
  const { attempt } = expectSend(router.request('1', { route: once }));
  assert.deepEqual(router.dispatch({ kind: 'connection-silent', attempt }), []);
  const attempts = Array.from(
    { length: 200 },
    (_none, index) => expectSend(router.request(`r${index}`, { route })).attempt,
  );
  const repeated = attempts.filter(
    (id) => router.dispatch({ kind: 'connection-silent', attempt: id }).length > 0,
  );
  assert.ok(repeated.length > 0 && repeated.length < attempts.length, `${repeated.length}`);
  assert.equal(router.state.requests.size, 201);
});
