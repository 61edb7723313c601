import assert from 'node:assert/strict';
import { test } from 'node:test';
import { exponentialBackoffMs } from '../../src/backoff/index.js';

test('the delay doubles with each failure from the initial to the maximum one', () => {
  const bounds = { initialMs: 50, maxMs: 300 };
  const delaysMs = [0, 1, 2, 3, 100, 5000].map((failures) =>
    exponentialBackoffMs(failures, bounds),
  );
  assert.deepEqual(delaysMs, [50, 100, 200, 300, 300, 300]);
});
