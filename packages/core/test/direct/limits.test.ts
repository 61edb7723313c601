/** Limits under load: fair shares of accounts, the retry budget, admission control and load reports. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  admit,
  AttemptOutcome,
  createAccountUsage,
  createReporter,
  createRetryBudget,
  maxMinFairShare,
  RefusalCode,
} from '../../src/direct/index.js';
import type { Candidate, RequestAttributes } from '../../src/direct/index.js';
import { createSampleRouter, expectRefusal, expectSend, sampleRoute } from './sample.js';

const attributes = { route: sampleRoute({ objectiveMs: 800 }) } as RequestAttributes;
const shareOf = (used: number) => ({ used, shortfall: 0 });
const createCandidate = (waitMs: number, workMs: number, meanWaitMs = 500) =>
  ({ predictedMs: waitMs + workMs, waitMs, workMs, meanWaitMs }) as Candidate;

test('amounts capped at the max-min fair share use up the capacity, and smaller amounts are not capped', () => {
  const amounts = fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(amounts, fc.integer({ min: 1, max: 5000 }), (requested, capacity) => {
      const fairShare = maxMinFairShare(requested, capacity);
      const granted = requested.reduce((sum, amount) => sum + Math.min(amount, fairShare), 0);
      const total = requested.reduce((sum, amount) => sum + amount, 0);
      assert.ok(Math.abs(granted - Math.min(total, capacity)) < 1e-6);
    }),
    { seed: 20261204, numRuns: 500 },
  );
});

test('two flooding accounts: the one further above its fair share gets the lower limit', () => {
  const usage = createAccountUsage(4000);
  ['a', 'b', 'c'].forEach((account) => usage.recordRequested(account, 1000, 0));
  usage.recordServed('a', 1000, 0);
  usage.recordServed('b', 550, 0);
  usage.recordServed('c', 300, 0);
  assert.ok(usage.shareUsed('a', 1) > usage.shareUsed('b', 1));
  const allowedMsOf = (account: string) =>
    admit(attributes, createCandidate(0, 0), shareOf(usage.shareUsed(account, 1)), 0).allowedMs;
  assert.ok(allowedMsOf('a') < allowedMsOf('b'));
  assert.ok(allowedMsOf('b') < allowedMsOf('c'));
});

test('the allowed predicted time never rises with the used share of the account', () => {
  let previousMs = Number.POSITIVE_INFINITY;
  for (let shareUsed = 0.01; shareUsed < 3; shareUsed += 0.01) {
    const { allowedMs } = admit(attributes, createCandidate(0, 0), shareOf(shareUsed), 0);
    assert.ok(allowedMs <= previousMs + 1e-9);
    previousMs = allowedMs;
  }
});

test('an account far above its fair share is served like any other while engines have capacity', () => {
  assert.equal(admit(attributes, createCandidate(0, 500, 0), shareOf(5), 0).admitted, true);
  assert.equal(admit(attributes, createCandidate(0, 500, 200), shareOf(5), 0).admitted, false);
});

// Guards against an account that gets several times what the others get, because its callers reach routers that see short waits.
test('routers with different estimates of the waits apply the same share to an account while requests go unserved', () => {
  const usage = createAccountUsage(4000);
  ['large', 'other'].forEach((account) => usage.recordRequested(account, 1000, 0));
  usage.recordServed('large', 700, 0);
  usage.recordServed('other', 250, 0);
  const shortfall = usage.shortfall(1);
  assert.equal(shortfall, 1);
  const allowedMsAt = (account: string, meanWaitMs: number): number => {
    const share = { used: usage.shareUsed(account, 1), shortfall };
    return admit(attributes, createCandidate(0, 0, meanWaitMs), share, 0).allowedMs;
  };
  assert.equal(allowedMsAt('large', 20), allowedMsAt('large', 600));
  assert.ok(allowedMsAt('large', 20) < allowedMsAt('other', 600));
});

test('the shortfall grows with the unserved tokens and is 0 while capacity is sufficient', () => {
  const shortfalls = [1000, 970, 960, 900, 800, 300].map((served) => {
    const usage = createAccountUsage(4000);
    usage.recordRequested('a', 1000, 0);
    usage.recordServed('a', served, 0);
    return usage.shortfall(1);
  });
  assert.deepEqual(shortfalls.slice(0, 2), [0, 0]);
  assert.deepEqual(shortfalls.slice(4), [1, 1]);
  const [low, high] = shortfalls.slice(2, 4) as [number, number];
  assert.ok(low > 0 && high > low && high < 1, `${low}, ${high}`);
});

test('no account counts as above its fair share while all requests are served', () => {
  const usage = createAccountUsage(4000);
  usage.recordRequested('a', 1000, 0);
  usage.recordServed('a', 1000, 0);
  assert.equal(usage.shareUsed('a', 1), 0);
});

test("each router's tokens are taken for one report, and what peers report counts once and only within the window", () => {
  const usage = createAccountUsage(4000);
  usage.recordRequested('a', 100, 0);
  usage.recordServed('a', 20, 0);
  assert.deepEqual([...usage.takeOwnTokens()], [['a', { requested: 100, served: 20 }]]);
  assert.equal(usage.takeOwnTokens().size, 0);
  assert.equal(usage.shareUsed('b', 0), 0);
  usage.recordPeerTokens('b', { requested: 400, served: 300 }, 60);
  assert.ok(usage.shareUsed('b', 120) > 1);
  assert.equal(usage.takeOwnTokens().size, 0, 'tokens of peers are not reported again');
  usage.recordRequested('a', 100, 6000);
  usage.recordServed('a', 100, 6000);
  assert.equal(usage.shareUsed('b', 6000), 0);
});

test('a large prompt is admitted at an idle engine although it alone takes longer than the objective', () => {
  assert.equal(admit(attributes, createCandidate(0, 1200), shareOf(0), 0).admitted, true);
  assert.equal(admit(attributes, createCandidate(1200, 0), shareOf(0), 0).admitted, false);
});

test('sudden overload: requests that cannot meet the latency objective are refused immediately with a retry time', () => {
  const router = createSampleRouter();
  const refusedIndexes: number[] = [];
  for (let index = 0; index < 200; index += 1) {
    const promptPart = { id: `own-${index}`, tokens: 3000 };
    const effects = router.request(String(index), {
      promptParts: [promptPart],
      promptTokens: 3000,
    });
    if (effects.some(({ kind }) => kind === 'refuse')) {
      const { refusal } = expectRefusal(effects);
      assert.equal(refusal.code, RefusalCode.Overloaded);
      assert.ok(refusal.retryAfterMs! >= 200 && refusal.retryAfterMs! <= 2000);
      refusedIndexes.push(index);
    }
  }
  // Two engines with a total of 200,000 tokens per second serve about 40 such prompts within the latency objective.
  assert.ok(
    refusedIndexes[0]! > 10 && refusedIndexes[0]! < 120,
    `first refusal at ${refusedIndexes[0]}`,
  );
});

const stepsArbitrary = fc.array(
  fc.record({ router: fc.nat(3), isRetry: fc.boolean(), gapMs: fc.integer({ min: 0, max: 300 }) }),
  { minLength: 200, maxLength: 600 },
);

test('the retries of four routers together stay within the budget of the fleet in every window', () => {
  const windowMs = 10_000;
  fc.assert(
    fc.property(stepsArbitrary, (steps) => {
      const routers = Array.from({ length: 4 }, () =>
        createRetryBudget({ ratio: 0.2, burst: 20, windowMs }),
      );
      const requestTimesMs: number[] = [];
      const retryTimesMs: number[] = [];
      let nowMs = 0;
      steps.forEach(({ router, isRetry, gapMs }) => {
        nowMs += gapMs;
        const budget = routers[router]!;
        if (!isRetry) {
          budget.recordRequest('s', nowMs);
          requestTimesMs.push(nowMs);
        } else if (budget.tryAcquire('s', nowMs, 4)) {
          retryTimesMs.push(nowMs);
        }
      });
      retryTimesMs.forEach((endMs) => {
        const isInWindow = (atMs: number) => atMs > endMs - windowMs && atMs <= endMs;
        const allowed = 0.2 * requestTimesMs.filter(isInWindow).length + 20;
        assert.ok(retryTimesMs.filter(isInWindow).length <= allowed);
      });
    }),
    { seed: 20261204, numRuns: 100 },
  );
});

test('a burst at two routers: the second router accounts for the prompts of the first and picks another engine', () => {
  const [first, second] = [createSampleRouter(), createSampleRouter()];
  const reporter = createReporter('first/1');
  const promptParts = [{ id: 'own', tokens: 10_000 }];
  const prompt = { promptParts, promptTokens: 10_000 };
  const chosenId = expectSend(first.request('1', prompt)).serverId;
  const report = reporter.compose(first.state, 0);
  assert.ok(report !== undefined);
  second.dispatch({ kind: 'peer-report', report });
  assert.notEqual(expectSend(second.request('1', prompt)).serverId, chosenId);
});

test('sent prompts are reported immediately, ended requests in the next full report, and nothing twice', () => {
  const router = createSampleRouter();
  const reporter = createReporter('r/1');
  const { attempt } = expectSend(router.request('1'));
  const first = reporter.compose(router.state, 0);
  assert.equal(first?.loads[0]?.sentTokens, 5000);
  assert.equal(first?.accounts.length, 1);
  assert.equal(reporter.compose(router.state, 10), undefined);
  const ended = {
    kind: 'attempt-ended',
    attempt,
    outcome: AttemptOutcome.Complete,
    detail: '',
  } as const;
  router.dispatch(ended);
  assert.equal(reporter.compose(router.state, 20), undefined);
  assert.equal(reporter.compose(router.state, 200)?.loads[0]?.running, 0);
});
