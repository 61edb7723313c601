/** Limits under load: shares of accounts, the repeat budget, admission. Each test names the load it stands for. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  admit,
  createAccountUsage,
  AttemptOutcome,
  createRetryBudget,
  createReporter,
  maxMinFairShare,
  RefusalCode,
} from '../../src/direct/index.js';
import type { Candidate, RequestAttributes } from '../../src/direct/index.js';
import { createSampleRouter, refusedOf, sampleRoute, sentOf } from './sample.js';

const facts = { route: sampleRoute({ objectiveMs: 800 }) } as RequestAttributes;
const candidate = (waitMs: number, workMs: number, meanWaitMs = 500) =>
  ({ predictedMs: waitMs + workMs, waitMs, workMs, meanWaitMs }) as Candidate;

test('the max-min level fills the capacity, and nobody below it is cut', () => {
  const amounts = fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(amounts, fc.integer({ min: 1, max: 5000 }), (asked, capacity) => {
      const level = maxMinFairShare(asked, capacity);
      const given = asked.reduce((sum, amount) => sum + Math.min(amount, level), 0);
      const total = asked.reduce((sum, amount) => sum + amount, 0);
      assert.ok(Math.abs(given - Math.min(total, capacity)) < 1e-6);
    }),
    { seed: 20261204, numRuns: 500 },
  );
});

test('two flooding accounts: the one further above its share is allowed less', () => {
  const usage = createAccountUsage(4000);
  ['a', 'b', 'c'].forEach((account) => usage.recordRequested(account, 1000, 0));
  usage.recordServed('a', 1000, 0);
  usage.recordServed('b', 550, 0);
  usage.recordServed('c', 300, 0);
  assert.ok(usage.shareUsed('a', 1) > usage.shareUsed('b', 1));
  const allowed = (account: string) =>
    admit(facts, candidate(0, 0), usage.shareUsed(account, 1), 0).allowedMs;
  assert.ok(allowed('a') < allowed('b'));
  assert.ok(allowed('b') < allowed('c'));
});

test('the more of its share an account has used, the less may wait ahead of its requests', () => {
  let last = Number.POSITIVE_INFINITY;
  for (let used = 0.01; used < 3; used += 0.01) {
    const { allowedMs } = admit(facts, candidate(0, 0), used, 0);
    assert.ok(allowedMs <= last + 1e-9);
    last = allowedMs;
  }
});

test('while engines have capacity, an account far above its share is served like any other', () => {
  assert.equal(admit(facts, candidate(0, 500, 0), 5, 0).admitted, true);
  assert.equal(admit(facts, candidate(0, 500, 200), 5, 0).admitted, false);
});

test('while nothing is short no account is held back', () => {
  const usage = createAccountUsage(4000);
  usage.recordRequested('a', 1000, 0);
  usage.recordServed('a', 1000, 0);
  assert.equal(usage.shareUsed('a', 1), 0);
});

test("peers' usage counts from their second report on, as what came since the first", () => {
  const usage = createAccountUsage(4000);
  usage.recordRequested('a', 100, 0);
  usage.recordPeerTotals('p', 'b', { requested: 90_000, served: 90_000 }, 0);
  usage.recordServed('a', 20, 0);
  assert.equal(usage.shareUsed('b', 0), 0);
  usage.recordPeerTotals('p', 'b', { requested: 90_400, served: 90_300 }, 60);
  assert.ok(usage.shareUsed('b', 120) > 1);
});

test('a large prompt is admitted at an idle engine although it alone takes longer than the objective', () => {
  assert.equal(admit(facts, candidate(0, 1200), 0, 0).admitted, true);
  assert.equal(admit(facts, candidate(1200, 0), 0, 0).admitted, false);
});

test('sudden overload: what can no longer be in time is refused at once with a time to come back', () => {
  const router = createSampleRouter();
  const refused: number[] = [];
  for (let index = 0; index < 200; index += 1) {
    const own = { id: `own-${index}`, tokens: 3000 };
    const effects = router.request(String(index), { promptParts: [own], promptTokens: 3000 });
    if (effects.some(({ kind }) => kind === 'refuse')) {
      const { refusal } = refusedOf(effects);
      assert.equal(refusal.code, RefusalCode.Overloaded);
      assert.ok(refusal.retryAfterMs! >= 200 && refusal.retryAfterMs! <= 2000);
      refused.push(index);
    }
  }
  // 200,000 tokens a second over two engines leave about 40 such prompts within the objective.
  assert.ok(refused[0]! > 10 && refused[0]! < 120, `first refusal at ${refused[0]}`);
});

const spans = fc.array(
  fc.record({ router: fc.nat(3), repeat: fc.boolean(), gapMs: fc.integer({ min: 0, max: 300 }) }),
  { minLength: 200, maxLength: 600 },
);

test('repeats of four routers together stay within the budget of the fleet in every window', () => {
  const windowMs = 10_000;
  fc.assert(
    fc.property(spans, (steps) => {
      const routers = Array.from({ length: 4 }, () =>
        createRetryBudget({ ratio: 0.2, burst: 20, windowMs }),
      );
      const requests: number[] = [];
      const repeats: number[] = [];
      let nowMs = 0;
      steps.forEach(({ router, repeat, gapMs }) => {
        nowMs += gapMs;
        const budget = routers[router]!;
        if (!repeat) {
          budget.recordRequest('s', nowMs);
          requests.push(nowMs);
        } else if (budget.tryAcquire('s', nowMs, 4)) {
          repeats.push(nowMs);
        }
      });
      repeats.forEach((endMs) => {
        const within = (atMs: number) => atMs > endMs - windowMs && atMs <= endMs;
        const allowed = 0.2 * requests.filter(within).length + 20;
        assert.ok(repeats.filter(within).length <= allowed);
      });
    }),
    { seed: 20261204, numRuns: 100 },
  );
});

test('a burst at two routers: what one has sent is believed by the other, so both don’t pick the same engine', () => {
  const [first, second] = [createSampleRouter(), createSampleRouter()];
  const reporter = createReporter('first/1');
  const parts = [{ id: 'own', tokens: 10_000 }];
  const prompt = { promptParts: parts, promptTokens: 10_000 };
  const chosen = sentOf(first.request('1', prompt)).serverId;
  const report = reporter.compose(first.state, 0);
  assert.ok(report !== undefined);
  second.feed({ kind: 'peer-report', report });
  assert.notEqual(sentOf(second.request('1', prompt)).serverId, chosen);
});

test('sent prompts are reported at once, ends and accounts in turn, and nothing twice', () => {
  const router = createSampleRouter();
  const reporter = createReporter('r/1');
  const { attempt } = sentOf(router.request('1'));
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
  router.feed(ended);
  assert.equal(reporter.compose(router.state, 20), undefined);
  assert.equal(reporter.compose(router.state, 200)?.loads[0]?.running, 0);
});
