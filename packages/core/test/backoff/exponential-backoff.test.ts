import assert from 'node:assert/strict';
import { test } from 'node:test';
import { exponentialBackoffMs } from '../../src/backoff/index.js';

test('pauses double from the first to the longest, after any number of failures', () => {
  const bounds = { initialMs: 50, maxMs: 300 };
  const pauses = [0, 1, 2, 3, 100, 5000].map((failures) => exponentialBackoffMs(failures, bounds));
  assert.deepEqual(pauses, [50, 100, 200, 300, 300, 300]);
});
