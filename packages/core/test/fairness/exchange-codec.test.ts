import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { decodeCounter, encodeCounter } from '../../src/fairness/exchange-codec.js';

const amount = fc.oneof(fc.nat({ max: 100 }), fc.nat({ max: 40_000 }), fc.nat());

test('decodes a grow-only counter exactly for any acknowledged value', () => {
  fc.assert(
    fc.property(
      amount,
      amount,
      amount,
      fc.boolean(),
      (acked, receivedIncrease, unsentIncrease, isKnown) => {
        // The receiver's last value is at least the acknowledged one, and the current value at least the last one.
        const lastReceived = acked + receivedIncrease;
        const value = lastReceived + unsentIncrease;
        const encoded = encodeCounter(value, isKnown ? acked : undefined);
        assert.equal(decodeCounter(encoded, isKnown ? lastReceived : 0), value);
      },
    ),
    { seed: 41, numRuns: 2000 },
  );
});

test('encodes a small increase of a large total in 16 bits', () => {
  const encoded = encodeCounter(5_000_032_000, 5_000_000_000);
  assert.ok(encoded < 0 && encoded >= -(2 ** 15));
  assert.equal(encodeCounter(5_000_000_000, 5_000_000_000), 0);
});
