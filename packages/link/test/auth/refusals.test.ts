import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import { WebSocketServer } from 'ws';
import { createNonce, HandshakeHeader } from '../../src/auth/handshake.js';
import { Prover, createProof } from '../../src/auth/keyring.js';
import { createLinkDialer, createLinkServer } from '../../src/index.js';
import type { LinkOptions } from '../../src/index.js';
import {
  FLEET_KEY,
  createHello,
  createOptions,
  recordCalls,
  waitUntil,
} from '../support/fixtures.js';
import { openRawConnection, openRawLink } from '../support/raw-dialer.js';

const OTHER_KEY = 'some-other-fleet-key';

/** Dials a server, waits for the first refusal on both sides and returns the server's and the dialer's code. */
async function collectRefusalCodes(
  serverChanges: Partial<LinkOptions>,
  dialerChanges: Partial<LinkOptions>,
) {
  const serverCalls = recordCalls();
  const dialerCalls = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', serverCalls),
    ...serverChanges,
  });
  const dialer = createLinkDialer({
    ...createOptions('dialer', dialerCalls),
    ...dialerChanges,
    random: () => 0,
  });
  dialer.dial(`127.0.0.1:${server.port}`);
  await waitUntil(() => serverCalls.refused.length > 0 && dialerCalls.refused.length > 0);
  await dialer.close();
  await server.close();
  assert.equal(serverCalls.opened.length + dialerCalls.opened.length, 0);
  assert.ok(Object.values(server.refusals())[0]! > 0);
  return [serverCalls.refused[0]!.code, dialerCalls.refused[0]!.code];
}

test('peers with different fleet keys refuse each other', async () => {
  assert.deepEqual(await collectRefusalCodes({ fleetKey: OTHER_KEY }, {}), [
    'wrong-key',
    'wrong-key',
  ]);
});

test('a hello with another protocol version is refused', async () => {
  const hello = () => ({ ...createHello('dialer'), protocol: PROTOCOL_VERSION + 1 });
  const expected = ['unknown-protocol', 'unknown-protocol'];
  assert.deepEqual(await collectRefusalCodes({}, { hello }), expected);
});

test('an upgrade with another protocol version or without a nonce is refused', async () => {
  const calls = recordCalls();
  const server = await createLinkServer(createOptions('server', calls));
  await (
    await openRawConnection(server.port, { protocol: '2' })
  ).closed;
  await (
    await openRawConnection(server.port, { nonce: 'short' })
  ).closed;
  const codes = calls.refused.map((refusal) => refusal.code);
  assert.deepEqual(codes, ['unknown-protocol', 'malformed-hello']);
  await server.close();
});

const invalidFrames: [string, (frame: string) => string | Buffer, string][] = [
  ['invalid JSON', () => '{', 'malformed-hello'],
  ['invalid bytes', () => Buffer.from([0xc1, 0xff, 0x00]), 'malformed-hello'],
  [
    'an empty hello',
    (frame) => JSON.stringify({ ...JSON.parse(frame), hello: {} }),
    'malformed-hello',
  ],
  ['an excessive size', (frame) => frame.padEnd(20_000), 'malformed-hello'],
  [
    'a proof that does not match',
    (frame) => frame.replace(/"proof":"../, '"proof":"__'),
    'wrong-key',
  ],
];

invalidFrames.forEach(([name, change, expected]) => {
  test(`a handshake frame with ${name} is refused, with the code as the close reason`, async () => {
    const calls = recordCalls();
    const server = await createLinkServer(createOptions('server', calls));
    const raw = await openRawConnection(server.port);
    raw.ws.send(change(raw.frame));
    assert.deepEqual(await raw.closed, { code: 4401, reason: expected });
    assert.equal(calls.refused[0]!.code, expected);
    assert.equal(calls.opened.length, 0);
    await server.close();
  });
});

test('a dialer that sends no handshake frame is refused after the timeout', async () => {
  const calls = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', calls),
    handshakeTimeoutMs: 20,
  });
  const raw = await openRawConnection(server.port);
  assert.equal((await raw.closed).reason, 'handshake-timeout');
  assert.equal(calls.refused[0]!.code, 'handshake-timeout');
  await server.close();
});

test("a replay of a dialer's handshake is refused", async () => {
  const calls = recordCalls();
  const server = await createLinkServer(createOptions('server', calls));
  const nonce = createNonce();
  const first = await openRawLink(server.port, { nonce });
  assert.equal(calls.opened.length, 1);
  const replay = await openRawConnection(server.port, { nonce });
  replay.ws.send(first.frame);
  assert.equal((await replay.closed).reason, 'wrong-key');
  assert.equal(calls.opened.length, 1);
  await server.close();
});

test("a replay of a server's handshake is refused by the dialer", async () => {
  const recordedNonce = createNonce();
  const context = {
    protocol: PROTOCOL_VERSION,
    dialerNonce: createNonce(),
    serverNonce: recordedNonce,
  };
  const recordedProof = createProof(FLEET_KEY, { ...context, prover: Prover.Server });
  const replayingServer = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  replayingServer.on('headers', (headers) => {
    headers.push(`${HandshakeHeader.Nonce}: ${recordedNonce}`);
    headers.push(`${HandshakeHeader.Proofs}: ${recordedProof}`);
  });
  const received: unknown[] = [];
  replayingServer.on('connection', (ws) => ws.on('message', (data) => received.push(data)));
  await once(replayingServer, 'listening');

  const calls = recordCalls();
  const dialer = createLinkDialer({ ...createOptions('dialer', calls), random: () => 0 });
  dialer.dial(`127.0.0.1:${(replayingServer.address() as AddressInfo).port}`);
  await waitUntil(() => calls.refused.length > 0);
  assert.equal(calls.refused[0]!.code, 'wrong-key');
  assert.deepEqual(received, []);
  await dialer.close();
  replayingServer.clients.forEach((ws) => ws.terminate());
  replayingServer.close();
});

/** Returns whether a server and a dialer with these keys open a link. The first key of a list is the current one. */
async function opensLink(serverKeys: string[], dialerKeys: string[]): Promise<boolean> {
  const calls = recordCalls();
  const keyOptions = ([fleetKey, fleetKeyPrevious]: string[]) => ({
    fleetKey: fleetKey!,
    fleetKeyPrevious,
  });
  const server = await createLinkServer({
    ...createOptions('server', recordCalls()),
    ...keyOptions(serverKeys),
  });
  const dialer = createLinkDialer({
    ...createOptions('dialer', calls),
    ...keyOptions(dialerKeys),
    random: () => 0,
  });
  dialer.dial(`127.0.0.1:${server.port}`);
  await waitUntil(() => calls.opened.length + calls.refused.length > 0);
  await dialer.close();
  await server.close();
  return calls.opened.length === 1;
}

test('links open at every step of a fleet key rotation, but not with a key that was removed', async () => {
  const steps = [[FLEET_KEY], [FLEET_KEY, OTHER_KEY], [OTHER_KEY, FLEET_KEY], [OTHER_KEY]];
  for (const [index, before] of steps.slice(0, -1).entries()) {
    const after = steps[index + 1]!;
    assert.ok(await opensLink(before, after), `server before, dialer after step ${index + 1}`);
    assert.ok(await opensLink(after, before), `server after, dialer before step ${index + 1}`);
  }
  assert.equal(await opensLink([OTHER_KEY], [FLEET_KEY]), false);
});
