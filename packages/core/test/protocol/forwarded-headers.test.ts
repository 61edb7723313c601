import assert from 'node:assert/strict';
import { test } from 'node:test';
import { filterForwardedHeaders } from '../../src/protocol/forwarded-headers.js';

// Guards against headers that are lost because objects inherit a property of their name.
test('headers with names of inherited properties are forwarded', () => {
  const fields = Object.fromEntries([
    ['__proto__', 'a'],
    ['constructor', 'b'],
  ]);
  assert.deepEqual(Object.entries(filterForwardedHeaders(fields)), Object.entries(fields));
});
