import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseAddress } from '../../src/address.js';
import { backoffMs } from '../../src/dialer/backoff.js';
import { createLinkDialer, createLinkServer } from '../../src/index.js';
import { createOptions, recordCalls, waitUntil } from '../support/fixtures.js';

test('a link is reopened after a server restart and stays closed after disconnect', async () => {
  const serverCalls = recordCalls();
  const dialerCalls = recordCalls();
  const firstServer = await createLinkServer(createOptions('server', serverCalls));
  const { port } = firstServer;
  const address = `127.0.0.1:${port}`;
  const backoff = { minMs: 5, maxMs: 20 };
  const dialer = createLinkDialer({
    ...createOptions('dialer', dialerCalls),
    random: () => 0.5,
    backoff,
  });
  dialer.dial(address);
  dialer.dial(address);
  await waitUntil(() => dialerCalls.opened.length === 1);
  await firstServer.close();
  await waitUntil(() => dialerCalls.closed.length === 1);
  const secondServer = await createLinkServer({ ...createOptions('server', serverCalls), port });
  await waitUntil(() => dialerCalls.opened.length === 2 && secondServer.links().length === 1);
  assert.notEqual(dialerCalls.opened[0]!.id, dialerCalls.opened[1]!.id);
  assert.deepEqual(dialer.addresses(), [address]);

  dialer.disconnect(address);
  await waitUntil(() => secondServer.links().length === 0);
  assert.deepEqual(dialerCalls.closed, ['closed', 'hung-up']);
  assert.deepEqual(dialer.addresses(), []);
  assert.deepEqual(dialer.links(), []);
  await dialer.close();
  await secondServer.close();
});

test('malformed addresses, and addresses of other machines without TLS, are rejected', async () => {
  const dialer = createLinkDialer({ ...createOptions('dialer', recordCalls()), random: () => 0 });
  for (const address of [
    'nonsense',
    '127.0.0.1:0',
    '127.0.0.1:99999',
    'http://127.0.0.1:1',
    ':1',
  ]) {
    const result = dialer.dial(address);
    assert.equal(!result.ok && result.code, 'bad-address', address);
  }
  const remoteResult = dialer.dial('192.0.2.1:7000');
  assert.equal(!remoteResult.ok && remoteResult.code, 'plain-tcp-not-allowed');
  assert.deepEqual(dialer.addresses(), []);
  assert.deepEqual(parseAddress('[::1]:70'), { host: '::1', port: 70 });
  await dialer.close();
});

test('a server without TLS listens on a host other than loopback only if plain TCP is allowed', async () => {
  const options = { ...createOptions('server', recordCalls()), host: '0.0.0.0' };
  await assert.rejects(createLinkServer(options), /0\.0\.0\.0 isn't loopback/);
  const server = await createLinkServer({ ...options, allowPlainTcp: true });
  await server.close();
});

test('the backoff doubles up to its maximum and is reduced by a jitter of up to half', () => {
  const options = { minMs: 100, maxMs: 1000 };
  const delaysWithoutJitter = [0, 1, 2, 3, 4, 50].map((failures) =>
    backoffMs(failures, 0, options),
  );
  assert.deepEqual(delaysWithoutJitter, [100, 200, 400, 800, 1000, 1000]);
  assert.equal(backoffMs(1, 1, options), 100);
  assert.equal(backoffMs(1, 0.5, options), 150);
});
