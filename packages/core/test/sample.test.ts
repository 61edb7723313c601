import assert from 'node:assert/strict';
import { test } from 'node:test';

test('sample', () => {
  assert.equal(1, 1);
});
