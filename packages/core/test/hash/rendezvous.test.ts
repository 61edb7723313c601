import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { accountBucket, createHasher, rendezvousOrder, rendezvousPick } from '../../src/index.js';

const hasher = await createHasher();
const nodeNamesArbitrary = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
  minLength: 1,
  maxLength: 12,
});

test('the order is independent of the input order and starts with the picked node', () => {
  fc.assert(
    fc.property(fc.string(), nodeNamesArbitrary, (key, nodes) => {
      const order = rendezvousOrder(hasher, key, nodes);
      assert.deepEqual(rendezvousOrder(hasher, key, [...nodes].reverse()), order);
      assert.equal(rendezvousPick(hasher, key, nodes), order[0]);
      assert.deepEqual([...order].sort(), [...nodes].sort());
    }),
    { seed: 11 },
  );
});

test('removing a node does not change the order of the others', () => {
  fc.assert(
    fc.property(fc.string(), nodeNamesArbitrary, fc.nat(), (key, nodes, index) => {
      const removed = nodes[index % nodes.length];
      const remaining = nodes.filter((node) => node !== removed);
      const order = rendezvousOrder(hasher, key, nodes).filter((node) => node !== removed);
      assert.deepEqual(rendezvousOrder(hasher, key, remaining), order);
    }),
    { seed: 12 },
  );
});

test('the pick is undefined without nodes', () => {
  assert.equal(rendezvousPick(hasher, 'key', []), undefined);
});

test('16000 accounts are distributed over 16 buckets with at most a third deviation from the mean', () => {
  const counts = new Array<number>(16).fill(0);
  for (let i = 0; i < 16_000; i++) {
    const bucket = accountBucket(hasher, `account-${i}`, 16);
    counts[bucket] = (counts[bucket] ?? 0) + 1;
  }
  counts.forEach((count) => assert.ok(count > 667 && count < 1333, String(count)));
});
