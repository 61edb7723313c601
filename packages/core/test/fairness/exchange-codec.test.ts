import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { decodeGrowing, encodeGrowing } from '../../src/fairness/exchange-codec.js';

const amount = fc.oneof(fc.nat({ max: 100 }), fc.nat({ max: 40_000 }), fc.nat());

test('a grow-only number arrives exactly, whatever part of it was acknowledged', () => {
  fc.assert(
    fc.property(amount, amount, amount, fc.boolean(), (acked, more, rest, isKnown) => {
      // The receiver has what it acknowledged or something newer; the present value is newer still.
      const last = acked + more;
      const value = last + rest;
      const wire = encodeGrowing(value, isKnown ? acked : undefined);
      assert.equal(decodeGrowing(wire, isKnown ? last : 0), value);
    }),
    { seed: 41, numRuns: 2000 },
  );
});

test('a small increase of a large total takes 16 bits', () => {
  const wire = encodeGrowing(5_000_032_000, 5_000_000_000);
  assert.ok(wire < 0 && wire >= -(2 ** 15));
  assert.equal(encodeGrowing(5_000_000_000, 5_000_000_000), 0);
});
