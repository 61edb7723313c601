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

/** Dials a server, waits for both sides' first refusal and gives their codes. */
async function refusalCodes(
  serverChanges: Partial<LinkOptions>,
  dialerChanges: Partial<LinkOptions>,
) {
  const serverSide = recordCalls();
  const dialerSide = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', serverSide),
    ...serverChanges,
  });
  const dialer = createLinkDialer({
    ...createOptions('dialer', dialerSide),
    ...dialerChanges,
    random: () => 0,
  });
  dialer.dial(`127.0.0.1:${server.port}`);
  await waitUntil(() => serverSide.refused.length > 0 && dialerSide.refused.length > 0);
  await dialer.close();
  await server.close();
  assert.equal(serverSide.opened.length + dialerSide.opened.length, 0);
  assert.ok(Object.values(server.refusals())[0]! > 0);
  return [serverSide.refused[0]!.code, dialerSide.refused[0]!.code];
}

test('peers with different fleet keys refuse each other', async () => {
  assert.deepEqual(await refusalCodes({ fleetKey: OTHER_KEY }, {}), ['wrong-key', 'wrong-key']);
});

test('a hello with another protocol version is refused', async () => {
  const hello = () => ({ ...createHello('dialer'), protocol: PROTOCOL_VERSION + 1 });
  const expected = ['unknown-protocol', 'unknown-protocol'];
  assert.deepEqual(await refusalCodes({}, { hello }), expected);
});

test('an upgrade with another protocol version or without a nonce is refused', async () => {
  const side = recordCalls();
  const server = await createLinkServer(createOptions('server', side));
  await (
    await openRawConnection(server.port, { protocol: '2' })
  ).closed;
  await (
    await openRawConnection(server.port, { nonce: 'short' })
  ).closed;
  const codes = side.refused.map((refusal) => refusal.code);
  assert.deepEqual(codes, ['unknown-protocol', 'malformed-hello']);
  await server.close();
});

const badFrames: [string, (frame: string) => string | Buffer, string][] = [
  ['not JSON', () => '{', 'malformed-hello'],
  ['binary rubbish', () => Buffer.from([0xc1, 0xff, 0x00]), 'malformed-hello'],
  ['no hello', (frame) => JSON.stringify({ ...JSON.parse(frame), hello: {} }), 'malformed-hello'],
  ['too large', (frame) => frame.padEnd(20_000), 'malformed-hello'],
  ['a wrong proof', (frame) => frame.replace(/"proof":"../, '"proof":"__'), 'wrong-key'],
];

badFrames.forEach(([name, change, expected]) => {
  test(`a handshake frame with ${name} is refused and the peer told`, async () => {
    const side = recordCalls();
    const server = await createLinkServer(createOptions('server', side));
    const raw = await openRawConnection(server.port);
    raw.ws.send(change(raw.frame));
    assert.deepEqual(await raw.closed, { code: 4401, reason: expected });
    assert.equal(side.refused[0]!.code, expected);
    assert.equal(side.opened.length, 0);
    await server.close();
  });
});

test('a dialer that says nothing is refused', async () => {
  const side = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', side),
    handshakeTimeoutMs: 20,
  });
  const raw = await openRawConnection(server.port);
  assert.equal((await raw.closed).reason, 'handshake-timeout');
  assert.equal(side.refused[0]!.code, 'handshake-timeout');
  await server.close();
});

test("a replay of a dialer's handshake is refused", async () => {
  const side = recordCalls();
  const server = await createLinkServer(createOptions('server', side));
  const nonce = createNonce();
  const first = await openRawLink(server.port, { nonce });
  assert.equal(side.opened.length, 1);
  const replay = await openRawConnection(server.port, { nonce });
  replay.ws.send(first.frame);
  assert.equal((await replay.closed).reason, 'wrong-key');
  assert.equal(side.opened.length, 1);
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
  const impostor = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  impostor.on('headers', (headers) => {
    headers.push(`${HandshakeHeader.Nonce}: ${recordedNonce}`);
    headers.push(`${HandshakeHeader.Proofs}: ${recordedProof}`);
  });
  const received: unknown[] = [];
  impostor.on('connection', (ws) => ws.on('message', (data) => received.push(data)));
  await once(impostor, 'listening');

  const side = recordCalls();
  const dialer = createLinkDialer({ ...createOptions('dialer', side), random: () => 0 });
  dialer.dial(`127.0.0.1:${(impostor.address() as AddressInfo).port}`);
  await waitUntil(() => side.refused.length > 0);
  assert.equal(side.refused[0]!.code, 'wrong-key');
  assert.deepEqual(received, []);
  await dialer.close();
  impostor.clients.forEach((ws) => ws.terminate());
  impostor.close();
});

/** Whether a dialer and a server with these keys open a link. */
async function keysOpen(serverKeys: string[], dialerKeys: string[]): Promise<boolean> {
  const side = recordCalls();
  const keysOf = ([fleetKey, fleetKeyPrevious]: string[]) => ({
    fleetKey: fleetKey!,
    fleetKeyPrevious,
  });
  const server = await createLinkServer({
    ...createOptions('server', recordCalls()),
    ...keysOf(serverKeys),
  });
  const dialer = createLinkDialer({
    ...createOptions('dialer', side),
    ...keysOf(dialerKeys),
    random: () => 0,
  });
  dialer.dial(`127.0.0.1:${server.port}`);
  await waitUntil(() => side.opened.length + side.refused.length > 0);
  await dialer.close();
  await server.close();
  return side.opened.length === 1;
}

test('links open all through a rotation of the fleet key, and not with a key that was dropped', async () => {
  const steps = [[FLEET_KEY], [FLEET_KEY, OTHER_KEY], [OTHER_KEY, FLEET_KEY], [OTHER_KEY]];
  for (const [index, before] of steps.slice(0, -1).entries()) {
    const after = steps[index + 1]!;
    assert.ok(await keysOpen(before, after), `server before, dialer after step ${index + 1}`);
    assert.ok(await keysOpen(after, before), `server after, dialer before step ${index + 1}`);
  }
  assert.equal(await keysOpen([OTHER_KEY], [FLEET_KEY]), false);
});
