import assert from 'node:assert/strict';
import { test } from 'node:test';

import { linkMessageSchema } from '../../src/index.js';

test('a message of unknown kind is not accepted', () => {
  assert.equal(linkMessageSchema.safeParse({ kind: 'gossip' }).success, false);
});

test('a grant with a negative lifetime is not accepted', () => {
  const grant = { kind: 'grant', grant: 1, account: 'a', ttlMs: -1, poolVirtualTimeMs: 0 };
  assert.equal(linkMessageSchema.safeParse(grant).success, false);
  assert.equal(linkMessageSchema.safeParse({ ...grant, ttlMs: 1 }).success, true);
});
