import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dumpState } from '../../src/index.js';

test('maps, sets and values without a JSON equivalent are converted', () => {
  const state = {
    queues: new Map([[1, new Set(['a'])]]),
    pairs: new Map([[{ pool: 'p' }, 1]]),
    bytes: Buffer.from('abc'),
    big: 1n,
    none: undefined,
    run: () => {},
  };
  assert.deepEqual(JSON.parse(JSON.stringify(dumpState(state))), {
    queues: { 1: ['a'] },
    pairs: [[{ pool: 'p' }, 1]],
    bytes: '[3 bytes]',
    big: '1',
  });
});

test('properties named like secrets are redacted at any depth, except numbers', () => {
  const redacted = '[redacted]';
  const state = {
    link: { fleetKey: 'a', fleet_key_previous: 'b', tls: { keyFile: 'c' } },
    accounts: new Map([['opticians', { keyHashes: ['d'], apiKey: Buffer.from('e') }]]),
    operators: [{ token: { value: 'f' }, Secret: 'g', password: '', authorization: 'h' }],
    kvTokensUsed: 5,
    tokens: 6,
    monkey: 'kept',
  };
  const dumped = dumpState(state);
  assert.deepEqual(dumped, {
    link: { fleetKey: redacted, fleet_key_previous: redacted, tls: { keyFile: redacted } },
    accounts: { opticians: { keyHashes: redacted, apiKey: redacted } },
    operators: [{ token: redacted, Secret: redacted, password: redacted, authorization: redacted }],
    kvTokensUsed: 5,
    tokens: 6,
    monkey: 'kept',
  });
});

test('circular references are replaced, repeated references are copied', () => {
  const shared = { a: 1 };
  const state: Record<string, unknown> = { one: shared, two: shared };
  state.self = state;
  assert.deepEqual(dumpState(state), { one: { a: 1 }, two: { a: 1 }, self: '[circular]' });
});
