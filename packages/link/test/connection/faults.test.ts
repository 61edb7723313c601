import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import type { LinkMessage } from '@kingcupsill/core';
import fc from 'fast-check';
import { pack } from 'msgpackr';
import { createCodec, localStructures } from '../../src/codec/create-codec.js';
import { createLinkServer } from '../../src/index.js';
import { createOptions, recordCalls, waitUntil } from '../support/fixtures.js';
import { openRawLink } from '../support/raw-dialer.js';

const SEED = 20_261;
const codec = createCodec(localStructures);
const decline: LinkMessage = { kind: 'decline', grant: 1 };

const badFrames: [string, Buffer | string, string][] = [
  ['malformed bytes', Buffer.from([0xc1, 0xff, 0x01]), 'malformed-message'],
  ['an empty frame', Buffer.alloc(0), 'malformed-message'],
  ['a message of unknown kind', pack({ kind: 'nonsense' }), 'malformed-message'],
  ['a message against its schema', pack({ kind: 'grant', grant: -1 }), 'malformed-message'],
  ['a length without its members', Buffer.from('ddffffffff', 'hex'), 'malformed-message'],
  ['a text frame', '{"kind":"leaving"}', 'malformed-message'],
  ['an oversize message', Buffer.alloc(5000, codec.encode(decline)), 'oversize-message'],
];

badFrames.forEach(([name, frame, reason]) => {
  test(`${name} closes that link and no other`, async () => {
    const side = recordCalls();
    const server = await createLinkServer({
      ...createOptions('server', side),
      maxMessageBytes: 4096,
    });
    const good = await openRawLink(server.port);
    const bad = await openRawLink(server.port);
    bad.ws.send(frame);
    await bad.closed;
    assert.deepEqual(side.closed, [reason]);
    assert.deepEqual(side.messages, []);
    good.ws.send(codec.encode(decline));
    await waitUntil(() => side.messages.length === 1);
    assert.equal(server.links().length, 1);
    await server.close();
  });
});

test('bytes from a peer never make the codec throw', () => {
  const valid = codec.encode({
    kind: 'settle',
    attempt: 'a',
    pool: 'p',
    account: 'c',
    chargeMs: 1.5,
    refundMs: 0,
  });
  const flipped = fc
    .array(fc.tuple(fc.nat(valid.length - 1), fc.nat(255)), { minLength: 1, maxLength: 4 })
    .map((changes) => {
      const bytes = Buffer.from(valid);
      changes.forEach(([index, byte]) => bytes.writeUInt8(byte, index));
      return bytes;
    });
  const random = fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes));
  const bytes = fc.oneof(random, flipped);
  fc.assert(
    fc.property(
      bytes,
      (frame) => typeof createCodec(localStructures).decode(frame).ok === 'boolean',
    ),
    { seed: SEED, numRuns: 3000 },
  );
});

test('a peer that sends random bytes closes only its own link', async () => {
  const side = recordCalls();
  const server = await createLinkServer(createOptions('server', side));
  const good = await openRawLink(server.port);
  const frame = fc.uint8Array({ minLength: 1, maxLength: 300 });
  const frames = fc.sample(frame, { seed: SEED, numRuns: 50 });
  for (const bytes of frames) {
    const raw = await openRawLink(server.port);
    // Below the WebSocket layer, so that its framing is tried as well.
    (raw.ws as unknown as { _socket: Socket })._socket.write(bytes);
    raw.ws.send(bytes, () => raw.ws.terminate());
    await raw.closed;
  }
  await waitUntil(() => server.links().length === 1);
  good.ws.send(codec.encode(decline));
  await waitUntil(() => side.messages.length > 0);
  assert.deepEqual(side.messages.at(-1), decline);
  await server.close();
});

test('a peer that stops to answer is found by its silence', async () => {
  const side = recordCalls();
  const times = { heartbeatIntervalMs: 10, heartbeatTimeoutMs: 60 };
  const server = await createLinkServer({ ...createOptions('server', side), ...times });
  const answering = await openRawLink(server.port);
  await openRawLink(server.port, { autoPong: false });
  await waitUntil(() => side.closed.length > 0);
  assert.deepEqual(side.closed, ['heartbeat-timeout']);
  assert.equal(answering.ws.readyState, answering.ws.OPEN);
  await server.close();
});

test('a peer that does not read is closed', async () => {
  const side = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', side),
    maxBufferedBytes: 100_000,
  });
  const raw = await openRawLink(server.port);
  raw.ws.pause();
  const config = 'x'.repeat(1_000_000);
  for (let sent = 0; sent < 100 && side.closed.length === 0; sent += 1) {
    side.opened[0]!.send({ kind: 'config-full', config });
    await new Promise(setImmediate);
  }
  assert.deepEqual(side.closed, ['peer-not-reading']);
  raw.ws.terminate();
  await server.close();
});

test('a message above the limit closes the link of its sender', async () => {
  const side = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', side),
    maxMessageBytes: 4096,
  });
  const raw = await openRawLink(server.port);
  side.opened[0]!.send({ kind: 'config-full', config: 'x'.repeat(5000) });
  assert.deepEqual(await raw.closed, { code: 4000, reason: 'oversize-message' });
  assert.deepEqual(side.closed, ['oversize-message']);
  await server.close();
});
