import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LinkMessage } from '@kingcupsill/core';
import { Packr } from 'msgpackr';
import { createCodec, localStructures } from '../../src/codec/create-codec.js';
import { createHello } from '../support/fixtures.js';

const accountTotal = { key: 7, chargedMs: -12_345, refundedMs: -345, waiting: true };
const poolTime = { key: 0, virtualTimeMs: -12_345 };
const exchangeKey = { key: 7, pool: 'polish-13b', account: 'opticians-north', writer: '' };
const accountLift = { key: 7, epoch: 0, liftMs: 8_123_456, share: 2 };

const emptyLists = { acks: [], keys: [], totals: [], lifts: [], pools: [] };
const establishedSession = {
  ...emptyLists,
  run: 0,
  to: 0,
  session: 54_321,
  seq: 70_123,
  acks: [70_122],
};
const newSession = {
  ...emptyLists,
  run: 3_123_456_789,
  to: 2_123_456_789,
  session: 0,
  seq: 1,
  acks: [1],
};

/** Typical messages of each kind, with their maximum encoded size in bytes. */
const samples: [LinkMessage, number][] = [
  [
    {
      kind: 'demand',
      full: false,
      poolVirtualTimeMs: 8_123_456.25,
      entries: ['opticians-north', 'schools', 'observatory'].map((account, index) => ({
        account,
        virtualTimeMs: 8_123_456.25 + index,
        waiting: 3,
        estimateMs: 1800,
        share: 2,
      })),
    },
    150,
  ],
  [
    {
      kind: 'grant',
      grant: 70_123,
      account: 'opticians-north',
      ttlMs: 250,
      poolVirtualTimeMs: 1.5,
    },
    50,
  ],
  [{ kind: 'decline', grant: 70_123 }, 20],
  [{ kind: 'credits', credits: 2, poolVirtualTimeMs: 8_123_456.25 }, 30],
  [
    {
      kind: 'settle',
      attempt: '5c5bf8b42d537a7f.70123',
      pool: 'polish-13b',
      account: 'opticians-north',
      chargeMs: 1800,
      refundMs: 211.5,
    },
    90,
  ],
  [{ kind: 'leaving', leaving: true }, 20],
  [
    {
      kind: 'routers',
      routers: [
        { id: 'router-1', address: '10.0.0.1:7000', zone: 'kingston-a', region: 'kingston' },
      ],
    },
    70,
  ],
  [{ kind: 'totals-report', ...establishedSession, totals: [accountTotal], pools: [poolTime] }, 60],
  [{ kind: 'zone-totals', ...establishedSession, totals: [accountTotal], pools: [poolTime] }, 60],
  [
    {
      kind: 'spread-totals',
      ...establishedSession,
      totals: [accountTotal, accountTotal],
      pools: [poolTime],
    },
    70,
  ],
  [
    {
      kind: 'zone-totals',
      ...newSession,
      keys: [exchangeKey],
      totals: [{ ...accountTotal, chargedMs: 8_123_456 }],
      lifts: [accountLift],
    },
    110,
  ],
  [{ kind: 'config-version', version: 30_123 }, 30],
  [{ kind: 'config-patch', version: 30_123, patch: { accounts: { schools: { share: 2 } } } }, 60],
  [{ kind: 'config-full', config: { version: 1, accounts: {}, list: [1, null, 'a'] } }, 60],
  [{ kind: 'config-request', version: 30_123 }, 30],
  [{ ...createHello('router-1'), address: '10.0.0.1:7000' }, 130],
];

samples.forEach(([message, maxBytes]) => {
  test(`a ${message.kind} message is unchanged after decoding and takes at most ${maxBytes} bytes`, (context) => {
    const frame = createCodec(localStructures).encode(message);
    context.diagnostic(`${message.kind}: ${frame.length} bytes`);
    assert.deepEqual(createCodec(localStructures).decode(frame), { ok: true, messages: [message] });
    assert.ok(frame.length <= maxBytes, `${frame.length} bytes`);
  });
});

test('several messages in one frame are decoded in order, regardless of the order of their keys', () => {
  const codec = createCodec(localStructures);
  const messages = samples.map(([message]) => message);
  const reversed = messages.map(
    (message) => Object.fromEntries(Object.entries(message).reverse()) as LinkMessage,
  );
  const frame = Buffer.concat(reversed.map(codec.encode));
  const decoded = createCodec(localStructures).decode(frame);
  assert.deepEqual(decoded, { ok: true, messages });
});

test("messages of a peer with other structures are decoded with the peer's structures only", () => {
  const structures = [['kind', 'grant', 'newField'], ...localStructures].reverse();
  const peerPackr = new Packr({
    structures: structures.map((keys) => [...keys]),
    maxSharedStructures: structures.length,
  });
  const frame = peerPackr.pack({ kind: 'decline', grant: 7, newField: 1 });
  const decoded = createCodec(structures).decode(frame);
  assert.deepEqual(decoded, { ok: true, messages: [{ kind: 'decline', grant: 7 }] });
  assert.equal(createCodec(localStructures).decode(frame).ok, false);
});
