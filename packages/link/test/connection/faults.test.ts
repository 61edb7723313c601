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

const invalidFrames: [string, Buffer | string, string][] = [
  ['malformed bytes', Buffer.from([0xc1, 0xff, 0x01]), 'malformed-message'],
  ['an empty frame', Buffer.alloc(0), 'malformed-message'],
  ['a message of unknown kind', pack({ kind: 'nonsense' }), 'malformed-message'],
  ['a message that violates its schema', pack({ kind: 'grant', grant: -1 }), 'malformed-message'],
  ['an array length without elements', Buffer.from('ddffffffff', 'hex'), 'malformed-message'],
  ['a text frame', '{"kind":"leaving"}', 'malformed-message'],
  ['an oversize message', Buffer.alloc(5000, codec.encode(decline)), 'oversize-message'],
];

invalidFrames.forEach(([name, frame, reason]) => {
  test(`${name} closes only the link that received it`, async () => {
    const calls = recordCalls();
    const server = await createLinkServer({
      ...createOptions('server', calls),
      maxMessageBytes: 4096,
    });
    const healthyPeer = await openRawLink(server.port);
    const faultyPeer = await openRawLink(server.port);
    faultyPeer.ws.send(frame);
    await faultyPeer.closed;
    assert.deepEqual(calls.closed, [reason]);
    assert.deepEqual(calls.messages, []);
    healthyPeer.ws.send(codec.encode(decline));
    await waitUntil(() => calls.messages.length === 1);
    assert.equal(server.links().length, 1);
    await server.close();
  });
});

test('decoding arbitrary bytes never throws', () => {
  const validFrame = codec.encode({
    kind: 'settle',
    attempt: 'a',
    pool: 'p',
    account: 'c',
    chargeMs: 1.5,
    refundMs: 0,
  });
  const corruptedFrame = fc
    .array(fc.tuple(fc.nat(validFrame.length - 1), fc.nat(255)), { minLength: 1, maxLength: 4 })
    .map((changes) => {
      const bytes = Buffer.from(validFrame);
      changes.forEach(([index, byte]) => bytes.writeUInt8(byte, index));
      return bytes;
    });
  const randomFrame = fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes));
  const bytes = fc.oneof(randomFrame, corruptedFrame);
  fc.assert(
    fc.property(
      bytes,
      (frame) => typeof createCodec(localStructures).decode(frame).ok === 'boolean',
    ),
    { seed: SEED, numRuns: 3000 },
  );
});

test('a peer that sends random bytes closes only its own link', async () => {
  const calls = recordCalls();
  const server = await createLinkServer(createOptions('server', calls));
  const good = await openRawLink(server.port);
  const frame = fc.uint8Array({ minLength: 1, maxLength: 300 });
  const frames = fc.sample(frame, { seed: SEED, numRuns: 50 });
  for (const bytes of frames) {
    const raw = await openRawLink(server.port);
    // Written to the TCP socket, to test the WebSocket framing as well.
    (raw.ws as unknown as { _socket: Socket })._socket.write(bytes);
    raw.ws.send(bytes, () => raw.ws.terminate());
    await raw.closed;
  }
  await waitUntil(() => server.links().length === 1);
  good.ws.send(codec.encode(decline));
  await waitUntil(() => calls.messages.length > 0);
  assert.deepEqual(calls.messages.at(-1), decline);
  await server.close();
});

test('a peer that stops responding to pings is closed after the heartbeat timeout', async () => {
  const calls = recordCalls();
  const timing = { heartbeatIntervalMs: 10, heartbeatTimeoutMs: 60 };
  const server = await createLinkServer({ ...createOptions('server', calls), ...timing });
  const respondingPeer = await openRawLink(server.port);
  await openRawLink(server.port, { autoPong: false });
  await waitUntil(() => calls.closed.length > 0);
  assert.deepEqual(calls.closed, ['heartbeat-timeout']);
  assert.equal(respondingPeer.ws.readyState, respondingPeer.ws.OPEN);
  await server.close();
});

test('the link of a peer that does not read is closed', async () => {
  const calls = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', calls),
    maxBufferedBytes: 100_000,
  });
  const raw = await openRawLink(server.port);
  raw.ws.pause();
  const config = 'x'.repeat(1_000_000);
  for (let sent = 0; sent < 100 && calls.closed.length === 0; sent += 1) {
    calls.opened[0]!.send({ kind: 'config-full', config });
    await new Promise(setImmediate);
  }
  assert.deepEqual(calls.closed, ['peer-not-reading']);
  raw.ws.terminate();
  await server.close();
});

test('sending a message above the size limit closes the link', async () => {
  const calls = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', calls),
    maxMessageBytes: 4096,
  });
  const raw = await openRawLink(server.port);
  calls.opened[0]!.send({ kind: 'config-full', config: 'x'.repeat(5000) });
  assert.deepEqual(await raw.closed, { code: 4000, reason: 'oversize-message' });
  assert.deepEqual(calls.closed, ['oversize-message']);
  await server.close();
});
