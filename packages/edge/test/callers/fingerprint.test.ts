import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { fingerprintRequest } from '../../src/callers/fingerprint.js';

const digestOf = (body: string) => createHash('sha256').update(body).digest();
const INPUT = {
  method: 'POST',
  host: 'a.example',
  target: '/orders/1?copy=2',
  account: 'kingston',
  bodyDigest: digestOf('one'),
};

test('a fingerprint is the same for a repetition and another for each other request', () => {
  const others = [
    { method: 'PUT' },
    { host: 'b.example' },
    { target: '/orders/1?copy=3' },
    { account: 'montego' },
    { account: undefined },
    { bodyDigest: digestOf('two') },
  ].map((change) => fingerprintRequest({ ...INPUT, ...change }));
  assert.equal(fingerprintRequest({ ...INPUT }), fingerprintRequest(INPUT));
  assert.equal(new Set([fingerprintRequest(INPUT), ...others]).size, others.length + 1);
});
