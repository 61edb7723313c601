/** Guards against request bodies that take the process over its memory. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createBodyBudget } from '../../src/callers/body-budget.js';
import type { BodyBudget } from '../../src/callers/body-budget.js';
import { divideMemory } from '../../src/memory-division.js';

const MB = 1024 * 1024;
const MEMORY_MB = 100;
const LARGE_BYTES = MB;
const SMALL_BYTES = 1024;

/** Reserves bodies of one size until one is refused, and returns how many there are. */
function fill(budget: BodyBudget, account: string, bytes: number): number {
  let bodies = 0;
  while (budget.open(account).growTo(bytes)) bodies += 1;
  return bodies;
}

test('one account leaves memory to the others, and large bodies leave memory to small ones', () => {
  const budget = createBodyBudget(MEMORY_MB);
  const largeBodies = fill(budget, 'a', LARGE_BYTES);
  assert.ok(largeBodies > 0);
  assert.ok(budget.open('b').growTo(LARGE_BYTES));
  assert.ok(fill(budget, 'a', SMALL_BYTES) > 0);
  assert.ok(budget.open('b').growTo(SMALL_BYTES));
});

// Guards against a router that is killed at its memory limit, because the budgets hold all that the heap leaves.
test('bodies and responses leave room for the heap, and for as much again that waits for the garbage collector', () => {
  const [memoryMb, heapMb, accounts, bodyBytes] = [350, 128, 12, 4_000_000];
  const budget = createBodyBudget(memoryMb);
  for (let account = 0; account < accounts; account += 1) {
    fill(budget, `t${account}`, bodyBytes);
    fill(budget, `t${account}`, 60_000);
  }
  const heldBytes = budget.heldBytes() + divideMemory(memoryMb).responses;
  assert.ok(2 * heldBytes <= (memoryMb - heapMb) * MB, `${heldBytes} bytes`);
});

test('small bodies leave memory to large ones', () => {
  const budget = createBodyBudget(MEMORY_MB);
  fill(budget, 'a', SMALL_BYTES);
  assert.ok(budget.open('a').growTo(LARGE_BYTES));
});

test('a body is refused or kept whatever its size is among large ones', () => {
  const budget = createBodyBudget(MEMORY_MB);
  fill(budget, 'a', LARGE_BYTES);
  assert.ok(budget.open('b').growTo(4 * LARGE_BYTES));
});

test('a refused growth keeps what was reserved, and released memory is free again', () => {
  const budget = createBodyBudget(MEMORY_MB);
  const first = budget.open('a');
  assert.ok(first.growTo(SMALL_BYTES));
  fill(budget, 'a', LARGE_BYTES);
  const heldBytes = budget.heldBytes();
  assert.equal(first.growTo(LARGE_BYTES), false);
  assert.equal(budget.heldBytes(), heldBytes);
  first.release();
  first.release();
  assert.equal(budget.heldBytes(), heldBytes - SMALL_BYTES);
});

test('never holds more than a quarter of the memory and a body of each size class', () => {
  const maxBodyBytes = 4 * MB;
  const step = fc.record({
    body: fc.nat(40),
    account: fc.constantFrom('a', 'b', 'c', undefined),
    bytes: fc.oneof(fc.nat(100_000), fc.nat(maxBodyBytes)),
    releases: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 300 }), (steps) => {
      const budget = createBodyBudget(MEMORY_MB);
      const bodies = new Map<
        number,
        { reservation: ReturnType<BodyBudget['open']>; bytes: number }
      >();
      steps.forEach(({ body, account, bytes, releases }) => {
        const known = bodies.get(body) ?? { reservation: budget.open(account), bytes: 0 };
        if (releases) {
          known.reservation.release();
          bodies.delete(body);
        } else {
          if (known.reservation.growTo(bytes)) known.bytes = Math.max(known.bytes, bytes);
          bodies.set(body, known);
        }
        const heldBytes = [...bodies.values()].reduce((sum, held) => sum + held.bytes, 0);
        assert.equal(budget.heldBytes(), heldBytes);
        assert.ok(heldBytes <= (MEMORY_MB * MB) / 4 + maxBodyBytes + 64 * 1024);
      });
      bodies.forEach(({ reservation }) => reservation.release());
      assert.equal(budget.heldBytes(), 0);
    }),
    { seed: 45, numRuns: 200 },
  );
});
