import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AttemptOutcome, RefusalCode, RetryPolicy } from '../../src/direct/index.js';
import type { DirectEffect } from '../../src/direct/index.js';
import {
  createSampleRouter,
  expectRefusal,
  expectSend,
  sampleConfig,
  sampleEntry,
  sampleRoute,
} from './sample.js';

const neverRetried = sampleRoute({
  name: 'orders',
  retryPolicy: RetryPolicy.Never,
  streaming: false,
  maxAttempts: 3,
});
const retriedAnywhere = sampleRoute({
  name: 'looks',
  retryPolicy: RetryPolicy.Any,
  streaming: false,
  maxAttempts: 2,
});

const attemptEnded = (attempt: string, outcome: AttemptOutcome) => ({
  kind: 'attempt-ended' as const,
  attempt,
  outcome,
  detail: '',
});

test('a request that may have run and must not be retried fails with an unknown outcome', () => {
  const router = createSampleRouter();
  const sent = expectSend(router.request('1', { route: neverRetried }));
  const { refusal } = expectRefusal(
    router.dispatch(attemptEnded(sent.attempt, AttemptOutcome.Unknown)),
  );
  assert.deepEqual([refusal.status, refusal.ran], [502, 'unknown']);
});

test('a request that did not run is sent to another server, even if its route forbids retries', () => {
  for (const outcome of [
    AttemptOutcome.NotRun,
    AttemptOutcome.WrongServer,
    AttemptOutcome.Unsent,
    AttemptOutcome.Unopened,
  ]) {
    const router = createSampleRouter();
    const first = expectSend(router.request('1', { route: neverRetried }));
    const second = expectSend(router.dispatch(attemptEnded(first.attempt, outcome)));
    assert.notEqual(second.serverKey, first.serverKey);
  }
});

test('a refusal states that the request did not run only if no attempt can have run', () => {
  const router = createSampleRouter();
  const first = expectSend(router.request('1', { route: retriedAnywhere }));
  const second = expectSend(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unknown)));
  const third = expectSend(router.dispatch(attemptEnded(second.attempt, AttemptOutcome.NotRun)));
  const { refusal } = expectRefusal(
    router.dispatch(attemptEnded(third.attempt, AttemptOutcome.NotRun)),
  );
  assert.deepEqual([refusal.status, refusal.ran], [502, 'unknown']);
});

// Guards against events that reach the caller twice because a comment behind them carries no event id.
test('a resumable stream continues after its last event id, also behind events without one', () => {
  const router = createSampleRouter();
  const first = expectSend(router.request('1'));
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: '7' });
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: undefined });
  const second = expectSend(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unknown)));
  assert.equal(second.lastEventId, '7');
});

// Guards against events that reach the caller twice because no event id states where the stream was broken off.
test('a resumable stream does not continue if none of its delivered events has an id', () => {
  const router = createSampleRouter();
  const first = expectSend(router.request('1'));
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: undefined });
  expectRefusal(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unknown)));
});

test('a resumable stream continues on another server after the last delivered event', () => {
  const router = createSampleRouter();
  const first = expectSend(router.request('1'));
  router.dispatch({ kind: 'attempt-begun', attempt: first.attempt });
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: '7' });
  const second = expectSend(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unknown)));
  assert.equal(second.lastEventId, '7');
  assert.notEqual(second.serverKey, first.serverKey);
});

// Guards against a server that is avoided after failed connections although events of a stream show that it works.
test('a server gets requests again once one of its streams goes on', () => {
  const router = createSampleRouter([sampleEntry('e1')]);
  const stream = expectSend(router.request('1'));
  router.dispatch({ kind: 'attempt-begun', attempt: stream.attempt });
  const first = expectSend(router.request('2'));
  const second = expectSend(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unsent)));
  expectRefusal(router.dispatch(attemptEnded(second.attempt, AttemptOutcome.Unsent)));
  expectRefusal(router.request('3'));
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: '7' });
  expectSend(router.request('4'));
});

// Guards against a server that is avoided because the router had no descriptors for connections to it.
test('a server gets requests although the router could not open connections', () => {
  const router = createSampleRouter([sampleEntry('e1')]);
  const end = (attempt: string) => router.dispatch(attemptEnded(attempt, AttemptOutcome.Unopened));
  let sent = expectSend(router.request('1', { route: neverRetried }));
  for (let repeats = 0; repeats < 2; repeats += 1) sent = expectSend(end(sent.attempt));
  const { refusal } = expectRefusal(end(sent.attempt));
  assert.deepEqual([refusal.code, refusal.ran], [RefusalCode.RouterConnectionsFull, 'no']);
  expectSend(router.request('2'));
});

test('a stream that must not be retried is aborted instead of continued by a second run', () => {
  const route = sampleRoute({ retryPolicy: RetryPolicy.Never });
  const router = createSampleRouter();
  const first = expectSend(router.request('1', { route }));
  router.dispatch({ kind: 'events-delivered', request: '1', lastEventId: '7' });
  expectRefusal(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unknown)));
});

test('a request may run on no more servers than the route allows', () => {
  const entries = ['e1', 'e2', 'e3', 'e4'].map((id) => sampleEntry(id));
  const router = createSampleRouter(entries);
  const first = expectSend(router.request('1', { route: retriedAnywhere }));
  const second = expectSend(router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Unknown)));
  expectRefusal(router.dispatch(attemptEnded(second.attempt, AttemptOutcome.Unknown)));
});

test('an error response of a server is the answer unless the request may be retried on any server', () => {
  const router = createSampleRouter();
  const first = expectSend(router.request('1', { route: neverRetried }));
  const effects = router.dispatch(attemptEnded(first.attempt, AttemptOutcome.Failed));
  assert.deepEqual(
    effects.map(({ kind }) => kind),
    ['finish'],
  );
  const retried = expectSend(router.request('2', { route: retriedAnywhere }));
  expectSend(router.dispatch(attemptEnded(retried.attempt, AttemptOutcome.Failed)));
});

test('the attempt is cancelled immediately when the caller disconnects', () => {
  const router = createSampleRouter();
  const { attempt } = expectSend(router.request('1'));
  const effects = router.dispatch({ kind: 'caller-left', request: '1' });
  assert.deepEqual(effects, [{ kind: 'cancel', attempt }]);
  assert.deepEqual(router.dispatch(attemptEnded(attempt, AttemptOutcome.Unknown)), []);
});

test('a request ends at its deadline, and its attempt is cancelled', () => {
  const router = createSampleRouter();
  const { attempt } = expectSend(router.request('1'));
  router.advance(9_999);
  assert.deepEqual(
    router.dispatch({ kind: 'tick' }).filter(({ kind }) => kind === 'refuse'),
    [],
  );
  router.advance(1);
  const effects = router.dispatch({ kind: 'tick' });
  assert.deepEqual(
    effects.filter(({ kind }) => kind === 'cancel'),
    [{ kind: 'cancel', attempt }],
  );
  assert.equal(expectRefusal(effects).refusal.status, 504);
});

test('a request without any available server is refused immediately with a retry time', () => {
  const router = createSampleRouter([]);
  const { refusal } = expectRefusal(router.request('1'));
  assert.equal(refusal.code, RefusalCode.NoServer);
  assert.equal(refusal.ran, 'no');
  assert.ok(refusal.retryAfterMs! > 0);
});

test('a draining server gets no new requests', () => {
  const router = createSampleRouter();
  router.dispatch({ kind: 'server-changed', entry: sampleEntry('e1', { draining: true }) });
  for (let index = 0; index < 10; index += 1) {
    assert.equal(expectSend(router.request(String(index))).serverId, 'e2');
  }
});

test('an older configuration does not replace a newer one', () => {
  const router = createSampleRouter();
  router.dispatch({ kind: 'configured', config: sampleConfig(5) });
  router.dispatch({ kind: 'configured', config: sampleConfig(4, []) });
  assert.equal(router.state.routeTable?.config.version, 5);
  assert.ok(router.state.routeTable?.findRoute('a.example', '/reviews/1'));
});

test('a starting router requests the cache contents of each engine once, and never of other servers', () => {
  const router = createSampleRouter([sampleEntry('e1'), sampleEntry('o1', { service: 'orders' })]);
  const queries = router.dispatch({ kind: 'tick' }).filter(({ kind }) => kind === 'list-kept');
  assert.equal(queries.length, 1);
  assert.deepEqual(
    router.dispatch({ kind: 'tick' }).filter(({ kind }) => kind === 'list-kept'),
    [],
  );
});

test('after a restart, prompts are sent to the engine that has their parts cached and are not refused as uncached', () => {
  const router = createSampleRouter();
  const cachedParts = [{ id: 'long', tokens: 30_000 }];
  const attributes = {
    promptParts: [...cachedParts, { id: 'own', tokens: 500 }],
    promptTokens: 30_500,
  };
  router.dispatch({ kind: 'kept-listed', serverKey: 'e2@1', promptParts: cachedParts });
  assert.equal(expectSend(router.request('1', attributes)).serverId, 'e2');
});

const outcomes = Object.values(AttemptOutcome).filter(
  (outcome) => outcome !== AttemptOutcome.Cancelled,
);
/** Outcomes after which the server may have run the request. */
const possibleRunOutcomes = new Set<string>([
  AttemptOutcome.Complete,
  AttemptOutcome.Failed,
  AttemptOutcome.Unknown,
]);

interface Observed {
  /** Request of each open attempt. */
  openAttempts: Map<string, string>;
  /** Number of possible runs by request. */
  runs: Map<string, number>;
  /** Number of final effects by request. */
  endings: Map<string, number>;
}

function recordEffects(effects: DirectEffect[], observed: Observed): void {
  effects.forEach((effect) => {
    if (effect.kind === 'send') observed.openAttempts.set(effect.attempt, effect.request);
    if (effect.kind === 'cancel') observed.openAttempts.delete(effect.attempt);
    if (effect.kind === 'finish' || effect.kind === 'refuse') {
      observed.endings.set(effect.request, (observed.endings.get(effect.request) ?? 0) + 1);
    }
  });
}

const stepArbitrary = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      action: fc.constant('request' as const),
      routeIndex: fc.constantFrom(0, 1, 2),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      action: fc.constant('end' as const),
      index: fc.nat(9),
      outcome: fc.constantFrom(...outcomes),
    }),
  },
  { weight: 1, arbitrary: fc.record({ action: fc.constant('leave' as const), index: fc.nat(9) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      action: fc.constant('pass' as const),
      ms: fc.integer({ min: 1, max: 4000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ action: fc.constant('drain' as const), index: fc.nat(2) }) },
  {
    weight: 1,
    arbitrary: fc.record({ action: fc.constant('silence' as const), index: fc.nat(9) }),
  },
  // An entry that goes and comes back while requests wait at its server.
  { weight: 2, arbitrary: fc.record({ action: fc.constant('remove' as const), index: fc.nat(2) }) },
  { weight: 2, arbitrary: fc.record({ action: fc.constant('list' as const), index: fc.nat(2) }) },
  { weight: 2, arbitrary: fc.record({ action: fc.constant('begin' as const), index: fc.nat(9) }) },
);

test('in any order of events, each request ends exactly once, and one that must not be retried runs at most once', () => {
  const routes = [neverRetried, retriedAnywhere, sampleRoute()];
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
      const router = createSampleRouter(['e1', 'e2', 'e3'].map((id) => sampleEntry(id)));
      const observed: Observed = { openAttempts: new Map(), runs: new Map(), endings: new Map() };
      const retryPolicyById = new Map<string, RetryPolicy>();
      const disconnected = new Set<string>();
      let requestCount = 0;
      steps.forEach((next) => {
        if (next.action === 'request') {
          requestCount += 1;
          const route = routes[next.routeIndex]!;
          retryPolicyById.set(String(requestCount), route.retryPolicy);
          recordEffects(router.request(String(requestCount), { route }), observed);
        } else if (next.action === 'end') {
          const openAttempt = [...observed.openAttempts.entries()][next.index];
          if (openAttempt === undefined) return;
          const [attempt, request] = openAttempt;
          observed.openAttempts.delete(attempt);
          if (possibleRunOutcomes.has(next.outcome))
            observed.runs.set(request, (observed.runs.get(request) ?? 0) + 1);
          recordEffects(router.dispatch(attemptEnded(attempt, next.outcome)), observed);
        } else if (next.action === 'silence') {
          const openAttempt = [...observed.openAttempts.entries()][next.index];
          if (openAttempt === undefined) return;
          const [attempt, request] = openAttempt;
          const effects = router.dispatch({ kind: 'connection-silent', attempt });
          // The server may have run what got no answer.
          if (effects.length > 0) observed.runs.set(request, (observed.runs.get(request) ?? 0) + 1);
          recordEffects(effects, observed);
        } else if (next.action === 'leave') {
          const id = [...router.state.requests.keys()][next.index];
          if (id === undefined) return;
          disconnected.add(id);
          recordEffects(router.dispatch({ kind: 'caller-left', request: id }), observed);
        } else if (next.action === 'drain') {
          const entry = sampleEntry(`e${next.index + 1}`, { draining: true });
          recordEffects(router.dispatch({ kind: 'server-changed', entry }), observed);
        } else if (next.action === 'remove') {
          const id = `e${next.index + 1}`;
          recordEffects(router.dispatch({ kind: 'server-removed', id }), observed);
        } else if (next.action === 'list') {
          const entry = sampleEntry(`e${next.index + 1}`);
          recordEffects(router.dispatch({ kind: 'server-changed', entry }), observed);
        } else if (next.action === 'begin') {
          const attempt = [...observed.openAttempts.keys()][next.index];
          if (attempt !== undefined) router.dispatch({ kind: 'attempt-begun', attempt });
        } else {
          router.advance(next.ms);
          recordEffects(router.dispatch({ kind: 'tick' }), observed);
        }
      });
      router.state.servers.forEach(({ load, unansweredAttempts }) => {
        assert.ok(load.ownRunning() >= unansweredAttempts);
        assert.ok(unansweredAttempts >= 0);
      });
      router.advance(20_000);
      recordEffects(router.dispatch({ kind: 'tick' }), observed);
      assert.equal(router.state.requests.size, 0);
      assert.equal(router.state.attempts.size, 0);
      router.state.servers.forEach(({ load, unansweredAttempts }) => {
        assert.equal(load.ownRunning(), 0);
        assert.equal(unansweredAttempts, 0);
      });
      retryPolicyById.forEach((retryPolicy, id) => {
        assert.equal(
          observed.endings.get(id) ?? 0,
          disconnected.has(id) ? 0 : 1,
          `number of endings of request ${id}`,
        );
        if (retryPolicy === RetryPolicy.Never)
          assert.ok((observed.runs.get(id) ?? 0) <= 1, `request ${id} ran more than once`);
      });
    }),
    { seed: 20261204, numRuns: 400 },
  );
});

// Guards against a prompt size that one caller states and that makes a server count as busy for all others.
test('a prompt that no server can hold is refused at once and leaves the estimates of the servers as they are', () => {
  const tooLarge = [
    { promptTokens: 999_999_999_999 },
    { promptTokens: 10, promptParts: [{ id: 'own', tokens: 999_999_999_999 }] },
  ];
  for (const attributes of tooLarge) {
    const router = createSampleRouter();
    const { refusal } = expectRefusal(router.request('1', attributes));
    assert.deepEqual(
      [refusal.status, refusal.code, refusal.ran],
      [503, RefusalCode.PromptTooLarge, 'no'],
    );
    expectSend(router.request('2'));
    expectSend(router.request('3'));
  }
  const router = createSampleRouter();
  const atCapacity = { promptTokens: 500_000, promptParts: [{ id: 'own', tokens: 500_000 }] };
  expectSend(router.request('1', atCapacity));
});

// Guards against the same by a caller of a service whose servers don't process tokens, so that no capacity bounds what it states.
test('tokens that are stated to a service without model engines count for nothing', () => {
  const router = createSampleRouter(
    [sampleEntry('o1', { service: 'orders' })],
    sampleConfig(1, [neverRetried]),
  );
  const promptParts = [{ id: 'own', tokens: 999_999_999_999 }];
  const stated = { promptTokens: 999_999_999_999, maxOutputTokens: 999_999_999_999, promptParts };
  for (let index = 0; index < 9; index += 1)
    expectSend(router.request(`${index}`, { service: 'orders', route: neverRetried, ...stated }));
});

// Guards against an account's own excess that its callers can't tell from a lack of capacity.
test('a request beyond the fair share of its account is refused with status 429, one without capacity with 503', () => {
  const router = createSampleRouter([sampleEntry('e1')]);
  const refusals = Array.from({ length: 400 }, (_none, index) => {
    router.advance(5);
    const account = index % 8 === 0 ? 'modest' : 'flooding';
    return router.request(`${index}`, { account, promptParts: [{ id: `${index}`, tokens: 5000 }] });
  })
    .flat()
    .flatMap((effect) => (effect.kind === 'refuse' ? [effect.refusal] : []));
  const statusesOf = (code: RefusalCode) =>
    new Set(refusals.filter((refusal) => refusal.code === code).map(({ status }) => status));
  assert.deepEqual([...statusesOf(RefusalCode.AccountOverShare)], [429]);
  assert.deepEqual([...statusesOf(RefusalCode.Overloaded)], [503]);
  assert.ok(refusals.every(({ ran, retryAfterMs }) => ran === 'no' && (retryAfterMs ?? 0) > 0));
});
