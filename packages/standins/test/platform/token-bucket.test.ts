import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createTokenBucket } from '../../src/platform/token-bucket.js';

test('a bucket allows a burst of one second of calls and then the configured rate', () => {
  const bucket = createTokenBucket(10, 0);
  const allowed = (nowMs: number) => bucket.take(nowMs) === 0;
  assert.equal(Array.from({ length: 15 }, () => allowed(0)).filter(Boolean).length, 10);
  assert.equal(bucket.take(0), 100);
  assert.equal(allowed(99), false);
  assert.equal(allowed(100), true);
  assert.equal(allowed(100), false);
  const overASecond = Array.from({ length: 100 }, (_, index) => allowed(100 + index * 10));
  assert.equal(overASecond.filter(Boolean).length, 9);
});
