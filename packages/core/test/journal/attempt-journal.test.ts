import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import {
  AttemptOutcome,
  AttemptState,
  resolveAttemptOutcome,
  createAttemptJournal,
  expireAttempts,
  isNewAttempt,
  recordAttempt,
} from '../../src/index.js';

const KEEP_MS = 1000;
const SEED = 51;

test('an unknown attempt is barred by the question and stays barred', () => {
  const journal = createAttemptJournal();
  assert.equal(resolveAttemptOutcome(journal, 'r.7', true, 0), AttemptOutcome.Barred);
  assert.equal(isNewAttempt(journal, 'r.7'), false);
});

test('an attempt sent to an earlier incarnation has an unknown outcome', () => {
  const journal = createAttemptJournal();
  assert.equal(resolveAttemptOutcome(journal, 'r.7', false, 0), AttemptOutcome.Unknown);
});

test('an attempt that ran and was forgotten is never said not to have run', () => {
  const journal = createAttemptJournal();
  recordAttempt(journal, 'r.7', AttemptState.Finished, 0);
  assert.deepEqual(expireAttempts(journal, 2 * KEEP_MS, KEEP_MS), ['r.7']);
  assert.equal(resolveAttemptOutcome(journal, 'r.7', true, 2 * KEEP_MS), AttemptOutcome.Unknown);
  assert.equal(isNewAttempt(journal, 'r.7'), false);
  assert.equal(resolveAttemptOutcome(journal, 'r.8', true, 2 * KEEP_MS), AttemptOutcome.Barred);
  assert.equal(resolveAttemptOutcome(journal, 'other.7', true, 2 * KEEP_MS), AttemptOutcome.Barred);
});

test('whatever is recorded, asked and forgotten, no attempt that ran is called barred', () => {
  const step = fc.record({
    action: fc.constantFrom('run', 'ask', 'expire'),
    sequence: fc.integer({ min: 1, max: 12 }),
    afterMs: fc.integer({ min: 0, max: 2 * KEEP_MS }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const journal = createAttemptJournal();
      const ran = new Set<string>();
      let nowMs = 0;
      steps.forEach(({ action, sequence, afterMs }) => {
        const attempt = `router.${sequence}`;
        nowMs += afterMs;
        if (action === 'expire') expireAttempts(journal, nowMs, KEEP_MS);
        else if (action === 'run' && isNewAttempt(journal, attempt)) {
          recordAttempt(journal, attempt, AttemptState.Finished, nowMs);
          assert.equal(ran.has(attempt), false, `${attempt} ran twice`);
          ran.add(attempt);
        } else if (action === 'ask') {
          const outcome = resolveAttemptOutcome(journal, attempt, true, nowMs);
          assert.equal(outcome === AttemptOutcome.Barred && ran.has(attempt), false);
        }
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
});
