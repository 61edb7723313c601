import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { accountBucket, createHasher, rendezvousOrder, rendezvousPick } from '../../src/index.js';

const hasher = await createHasher();
const nodeNames = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
  minLength: 1,
  maxLength: 12,
});

test('the order does not depend on the order of the nodes and starts with the pick', () => {
  fc.assert(
    fc.property(fc.string(), nodeNames, (key, nodes) => {
      const order = rendezvousOrder(hasher, key, nodes);
      assert.deepEqual(rendezvousOrder(hasher, key, [...nodes].reverse()), order);
      assert.equal(rendezvousPick(hasher, key, nodes), order[0]);
      assert.deepEqual([...order].sort(), [...nodes].sort());
    }),
    { seed: 11 },
  );
});

test('removing a node leaves the order of the others', () => {
  fc.assert(
    fc.property(fc.string(), nodeNames, fc.nat(), (key, nodes, index) => {
      const gone = nodes[index % nodes.length];
      const rest = nodes.filter((node) => node !== gone);
      const order = rendezvousOrder(hasher, key, nodes).filter((node) => node !== gone);
      assert.deepEqual(rendezvousOrder(hasher, key, rest), order);
    }),
    { seed: 12 },
  );
});

test('without nodes there is no pick', () => {
  assert.equal(rendezvousPick(hasher, 'key', []), undefined);
});

test('buckets are even within a third over 16000 accounts', () => {
  const counts = new Array<number>(16).fill(0);
  for (let i = 0; i < 16_000; i++) {
    const bucket = accountBucket(hasher, `account-${i}`, 16);
    counts[bucket] = (counts[bucket] ?? 0) + 1;
  }
  counts.forEach((count) => assert.ok(count > 667 && count < 1333, String(count)));
});
