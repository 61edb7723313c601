import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseAddress } from '../../src/address.js';
import { backoffMs } from '../../src/dialer/backoff.js';
import { createLinkDialer, createLinkServer } from '../../src/index.js';
import { createOptions, recordCalls, waitUntil } from '../support/fixtures.js';

test('a link comes back after the server was restarted, and hang-up ends it', async () => {
  const serverSide = recordCalls();
  const side = recordCalls();
  const first = await createLinkServer(createOptions('server', serverSide));
  const { port } = first;
  const address = `127.0.0.1:${port}`;
  const backoff = { minMs: 5, maxMs: 20 };
  const dialer = createLinkDialer({ ...createOptions('dialer', side), random: () => 0.5, backoff });
  dialer.dial(address);
  dialer.dial(address);
  await waitUntil(() => side.opened.length === 1);
  await first.close();
  await waitUntil(() => side.closed.length === 1);
  const second = await createLinkServer({ ...createOptions('server', serverSide), port });
  await waitUntil(() => side.opened.length === 2 && second.links().length === 1);
  assert.notEqual(side.opened[0]!.id, side.opened[1]!.id);
  assert.deepEqual(dialer.addresses(), [address]);

  dialer.disconnect(address);
  await waitUntil(() => second.links().length === 0);
  assert.deepEqual(side.closed, ['closed', 'hung-up']);
  assert.deepEqual(dialer.addresses(), []);
  assert.deepEqual(dialer.links(), []);
  await dialer.close();
  await second.close();
});

test('addresses that are malformed, or of other machines without TLS, are not dialled', async () => {
  const dialer = createLinkDialer({ ...createOptions('dialer', recordCalls()), random: () => 0 });
  for (const address of [
    'nonsense',
    '127.0.0.1:0',
    '127.0.0.1:99999',
    'http://127.0.0.1:1',
    ':1',
  ]) {
    const outcome = dialer.dial(address);
    assert.equal(!outcome.ok && outcome.code, 'bad-address', address);
  }
  const remote = dialer.dial('192.0.2.1:7000');
  assert.equal(!remote.ok && remote.code, 'plain-tcp-not-allowed');
  assert.deepEqual(dialer.addresses(), []);
  assert.deepEqual(parseAddress('[::1]:70'), { host: '::1', port: 70 });
  await dialer.close();
});

test('a server takes plain TCP from other machines only when that is allowed', async () => {
  const options = { ...createOptions('server', recordCalls()), host: '0.0.0.0' };
  await assert.rejects(createLinkServer(options), /0\.0\.0\.0 isn't loopback/);
  const server = await createLinkServer({ ...options, allowPlainTcp: true });
  await server.close();
});

test('the time between attempts doubles up to its maximum and is jittered downwards by up to half', () => {
  const options = { minMs: 100, maxMs: 1000 };
  const longest = [0, 1, 2, 3, 4, 50].map((failures) => backoffMs(failures, 0, options));
  assert.deepEqual(longest, [100, 200, 400, 800, 1000, 1000]);
  assert.equal(backoffMs(1, 1, options), 100);
  assert.equal(backoffMs(1, 0.5, options), 150);
});
