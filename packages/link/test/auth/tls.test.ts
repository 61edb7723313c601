import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { createLinkDialer, createLinkServer, readTlsFiles } from '../../src/index.js';
import type { LinkTls } from '../../src/index.js';
import { createOptions, recordCalls, waitUntil } from '../support/fixtures.js';

/** Reads keys and certificates generated for these tests; `untrusted` isn't signed by the authority that signed `fleet`. */
function readFixture(name: 'fleet' | 'untrusted'): Promise<LinkTls | undefined> {
  const pathOf = (file: string) =>
    fileURLToPath(new URL(`../support/tls/${file}`, import.meta.url));
  return readTlsFiles({
    tlsKeyFile: pathOf(`${name}.key`),
    tlsCertFile: pathOf(`${name}.pem`),
    tlsCaFile: pathOf('fleet-ca.pem'),
  });
}

async function startServerAndDialer(
  serverTls: LinkTls | undefined,
  dialerTls: LinkTls | undefined,
) {
  const serverCalls = recordCalls();
  const dialerCalls = recordCalls();
  const server = await createLinkServer({
    ...createOptions('server', serverCalls),
    tls: serverTls,
  });
  const options = { ...createOptions('dialer', dialerCalls), tls: dialerTls };
  const dialer = createLinkDialer({ ...options, random: () => 0 });
  dialer.dial(`127.0.0.1:${server.port}`);
  const close = async () => {
    await dialer.close();
    await server.close();
  };
  return { serverCalls, dialerCalls, close };
}

test('a link opens over mutual TLS', async () => {
  const tls = await readFixture('fleet');
  const { serverCalls, dialerCalls, close } = await startServerAndDialer(tls, tls);
  await waitUntil(() => dialerCalls.opened.length === 1);
  dialerCalls.opened[0]!.send({ kind: 'leaving', leaving: true });
  await waitUntil(() => serverCalls.messages.length === 1);
  await close();
});

test('a dialer with a certificate from another authority is refused', async () => {
  const { serverCalls, dialerCalls, close } = await startServerAndDialer(
    await readFixture('fleet'),
    await readFixture('untrusted'),
  );
  await waitUntil(() => serverCalls.refused.length > 0);
  assert.equal(serverCalls.refused[0]!.code, 'untrusted-certificate');
  assert.equal(dialerCalls.opened.length, 0);
  await close();
});

test('a server with a certificate from another authority is refused', async () => {
  const { serverCalls, dialerCalls, close } = await startServerAndDialer(
    await readFixture('untrusted'),
    await readFixture('fleet'),
  );
  await waitUntil(() => dialerCalls.refused.length > 0);
  assert.equal(dialerCalls.refused[0]!.code, 'untrusted-certificate');
  assert.equal(serverCalls.opened.length, 0);
  await close();
});

test('a dialer without TLS is refused by a server with TLS', async () => {
  const { serverCalls, dialerCalls, close } = await startServerAndDialer(
    await readFixture('fleet'),
    undefined,
  );
  await waitUntil(() => serverCalls.refused.length > 0);
  assert.equal(serverCalls.opened.length + dialerCalls.opened.length, 0);
  await close();
});

test('reading a missing TLS file rejects with its path', async () => {
  await assert.rejects(
    readTlsFiles({ tlsKeyFile: '/none/a', tlsCertFile: '/none/b', tlsCaFile: '/none/c' }),
    /can't read TLS file \/none\/[abc]/,
  );
});
