import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AttemptOutcome, RefusalCode, RetryPolicy } from '../../src/direct/index.js';
import type { DirectEffect } from '../../src/direct/index.js';
import {
  createSampleRouter,
  refusedOf,
  sampleConfig,
  sampleEntry,
  sampleRoute,
  sentOf,
} from './sample.js';

const once = sampleRoute({
  name: 'orders',
  retryPolicy: RetryPolicy.Never,
  streaming: false,
  maxAttempts: 3,
});
const any = sampleRoute({
  name: 'looks',
  retryPolicy: RetryPolicy.Any,
  streaming: false,
  maxAttempts: 2,
});

const ended = (attempt: string, outcome: AttemptOutcome) => ({
  kind: 'attempt-ended' as const,
  attempt,
  outcome,
  detail: '',
});

test('a request that may have run and must not be repeated fails with an unknown outcome', () => {
  const router = createSampleRouter();
  const sent = sentOf(router.request('1', { route: once }));
  const { refusal } = refusedOf(router.feed(ended(sent.attempt, AttemptOutcome.Unknown)));
  assert.deepEqual([refusal.status, refusal.ran], [502, 'unknown']);
});

test('a request that surely did not run goes to another server, also if it must not be repeated', () => {
  for (const end of [AttemptOutcome.NotRun, AttemptOutcome.WrongServer, AttemptOutcome.Unsent]) {
    const router = createSampleRouter();
    const first = sentOf(router.request('1', { route: once }));
    const second = sentOf(router.feed(ended(first.attempt, end)));
    assert.notEqual(second.serverKey, first.serverKey);
  }
});

test('a refusal says not run only if no attempt can have run', () => {
  const router = createSampleRouter();
  const first = sentOf(router.request('1', { route: any }));
  const second = sentOf(router.feed(ended(first.attempt, AttemptOutcome.Unknown)));
  const third = sentOf(router.feed(ended(second.attempt, AttemptOutcome.NotRun)));
  const { refusal } = refusedOf(router.feed(ended(third.attempt, AttemptOutcome.NotRun)));
  assert.deepEqual([refusal.status, refusal.ran], [502, 'unknown']);
});

test('a stream that may be resumed goes on elsewhere behind the last event delivered', () => {
  const router = createSampleRouter();
  const first = sentOf(router.request('1'));
  router.feed({ kind: 'attempt-begun', attempt: first.attempt });
  router.feed({ kind: 'events-delivered', request: '1', lastEventId: '7' });
  const second = sentOf(router.feed(ended(first.attempt, AttemptOutcome.Unknown)));
  assert.equal(second.lastEventId, '7');
  assert.notEqual(second.serverKey, first.serverKey);
});

test('a stream that must not be repeated is broken off, not joined from two runs', () => {
  const route = sampleRoute({ retryPolicy: RetryPolicy.Never });
  const router = createSampleRouter();
  const first = sentOf(router.request('1', { route }));
  router.feed({ kind: 'events-delivered', request: '1', lastEventId: '7' });
  refusedOf(router.feed(ended(first.attempt, AttemptOutcome.Unknown)));
});

test('no more servers than the route allows may have run a request', () => {
  const entries = ['e1', 'e2', 'e3', 'e4'].map((id) => sampleEntry(id));
  const router = createSampleRouter(entries);
  const first = sentOf(router.request('1', { route: any }));
  const second = sentOf(router.feed(ended(first.attempt, AttemptOutcome.Unknown)));
  refusedOf(router.feed(ended(second.attempt, AttemptOutcome.Unknown)));
});

test("a server's own failure is the answer unless the request may run anywhere", () => {
  const router = createSampleRouter();
  const first = sentOf(router.request('1', { route: once }));
  const effects = router.feed(ended(first.attempt, AttemptOutcome.Failed));
  assert.deepEqual(
    effects.map(({ kind }) => kind),
    ['finish'],
  );
  const looked = sentOf(router.request('2', { route: any }));
  sentOf(router.feed(ended(looked.attempt, AttemptOutcome.Failed)));
});

test('when the caller leaves, its attempt is cancelled at once', () => {
  const router = createSampleRouter();
  const { attempt } = sentOf(router.request('1'));
  const effects = router.feed({ kind: 'caller-left', request: '1' });
  assert.deepEqual(effects, [{ kind: 'cancel', attempt }]);
  assert.deepEqual(router.feed(ended(attempt, AttemptOutcome.Unknown)), []);
});

test('a request ends when its time is over, and its attempt with it', () => {
  const router = createSampleRouter();
  const { attempt } = sentOf(router.request('1'));
  router.pass(9_999);
  assert.deepEqual(
    router.feed({ kind: 'tick' }).filter(({ kind }) => kind === 'refuse'),
    [],
  );
  router.pass(1);
  const effects = router.feed({ kind: 'tick' });
  assert.deepEqual(
    effects.filter(({ kind }) => kind === 'cancel'),
    [{ kind: 'cancel', attempt }],
  );
  assert.equal(refusedOf(effects).refusal.status, 504);
});

test('without any server the refusal comes at once and says when to come back', () => {
  const router = createSampleRouter([]);
  const { refusal } = refusedOf(router.request('1'));
  assert.equal(refusal.code, RefusalCode.NoServer);
  assert.equal(refusal.ran, 'no');
  assert.ok(refusal.retryAfterMs! > 0);
});

test('a draining server gets no new work from the moment it says so', () => {
  const router = createSampleRouter();
  router.feed({ kind: 'server-changed', entry: sampleEntry('e1', { draining: true }) });
  for (let index = 0; index < 10; index += 1) {
    assert.equal(sentOf(router.request(String(index))).serverId, 'e2');
  }
});

test('an older configuration never replaces a newer one', () => {
  const router = createSampleRouter();
  router.feed({ kind: 'configured', config: sampleConfig(5) });
  router.feed({ kind: 'configured', config: sampleConfig(4, []) });
  assert.equal(router.state.routeTable?.config.version, 5);
  assert.ok(router.state.routeTable?.findRoute('a.example', '/reviews/1'));
});

test('a starting router asks each engine once what it keeps, and plain servers never', () => {
  const router = createSampleRouter([sampleEntry('e1'), sampleEntry('o1', { service: 'orders' })]);
  const asked = router.feed({ kind: 'tick' }).filter(({ kind }) => kind === 'list-kept');
  assert.equal(asked.length, 1);
  assert.deepEqual(
    router.feed({ kind: 'tick' }).filter(({ kind }) => kind === 'list-kept'),
    [],
  );
});

test('after a restart, prompts go where their parts are kept and are not refused as if nothing were', () => {
  const router = createSampleRouter();
  const parts = [{ id: 'long', tokens: 30_000 }];
  const facts = { promptParts: [...parts, { id: 'own', tokens: 500 }], promptTokens: 30_500 };
  router.feed({ kind: 'kept-listed', serverKey: 'e2@1', promptParts: parts });
  assert.equal(sentOf(router.request('1', facts)).serverId, 'e2');
});

const ends = Object.values(AttemptOutcome).filter((end) => end !== AttemptOutcome.Cancelled);
/** Ends after which the server may have run the request. */
const mayHaveRun = new Set<string>([
  AttemptOutcome.Complete,
  AttemptOutcome.Failed,
  AttemptOutcome.Unknown,
]);

interface Seen {
  sent: Map<string, string>;
  runs: Map<string, number>;
  finals: Map<string, number>;
}

function note(effects: DirectEffect[], seen: Seen): void {
  effects.forEach((effect) => {
    if (effect.kind === 'send') seen.sent.set(effect.attempt, effect.request);
    if (effect.kind === 'cancel') seen.sent.delete(effect.attempt);
    if (effect.kind === 'finish' || effect.kind === 'refuse') {
      seen.finals.set(effect.request, (seen.finals.get(effect.request) ?? 0) + 1);
    }
  });
}

const step = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({ do: fc.constant('request' as const), rule: fc.constantFrom(0, 1, 2) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('end' as const),
      pick: fc.nat(9),
      end: fc.constantFrom(...ends),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('leave' as const), pick: fc.nat(9) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constant('pass' as const),
      ms: fc.integer({ min: 1, max: 4000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('drain' as const), pick: fc.nat(2) }) },
);

test('in any order of events, each request ends once, and one that must not be repeated runs once at most', () => {
  const routes = [once, any, sampleRoute()];
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const router = createSampleRouter(['e1', 'e2', 'e3'].map((id) => sampleEntry(id)));
      const seen: Seen = { sent: new Map(), runs: new Map(), finals: new Map() };
      const ruleOf = new Map<string, RetryPolicy>();
      const left = new Set<string>();
      let made = 0;
      steps.forEach((next) => {
        if (next.do === 'request') {
          made += 1;
          const route = routes[next.rule]!;
          ruleOf.set(String(made), route.retryPolicy);
          note(router.request(String(made), { route }), seen);
        } else if (next.do === 'end') {
          const open = [...seen.sent.entries()][next.pick];
          if (open === undefined) return;
          const [attempt, request] = open;
          seen.sent.delete(attempt);
          if (mayHaveRun.has(next.end)) seen.runs.set(request, (seen.runs.get(request) ?? 0) + 1);
          note(router.feed(ended(attempt, next.end)), seen);
        } else if (next.do === 'leave') {
          const id = [...router.state.requests.keys()][next.pick];
          if (id === undefined) return;
          left.add(id);
          note(router.feed({ kind: 'caller-left', request: id }), seen);
        } else if (next.do === 'drain') {
          const entry = sampleEntry(`e${next.pick + 1}`, { draining: true });
          note(router.feed({ kind: 'server-changed', entry }), seen);
        } else {
          router.pass(next.ms);
          note(router.feed({ kind: 'tick' }), seen);
        }
      });
      router.pass(20_000);
      note(router.feed({ kind: 'tick' }), seen);
      assert.equal(router.state.requests.size, 0);
      assert.equal(router.state.attempts.size, 0);
      router.state.servers.forEach(({ load, unansweredAttempts: trials }) => {
        assert.equal(load.ownRunning(), 0);
        assert.equal(trials, 0);
      });
      ruleOf.forEach((rule, id) => {
        assert.equal(seen.finals.get(id) ?? 0, left.has(id) ? 0 : 1, `request ${id}`);
        if (rule === RetryPolicy.Never)
          assert.ok((seen.runs.get(id) ?? 0) <= 1, `request ${id} ran`);
      });
    }),
    { seed: 20261204, numRuns: 400 },
  );
});
