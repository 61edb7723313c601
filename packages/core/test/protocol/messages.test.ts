import assert from 'node:assert/strict';
import { test } from 'node:test';

import { messageSchema } from '../../src/index.js';

test('a message of unknown kind is not accepted', () => {
  assert.equal(messageSchema.safeParse({ kind: 'gossip' }).success, false);
});

test('a grant with a negative lifetime is not accepted', () => {
  const grant = { kind: 'grant', grant: 1, account: 'a', ttlMs: -1, poolVirtualTimeMs: 0 };
  assert.equal(messageSchema.safeParse(grant).success, false);
  assert.equal(messageSchema.safeParse({ ...grant, ttlMs: 1 }).success, true);
});
