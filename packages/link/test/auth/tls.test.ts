import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { createLinkDialer, createLinkServer, readTlsFiles } from '../../src/index.js';
import type { LinkTls } from '../../src/index.js';
import { createOptions, recordCalls, waitUntil } from '../support/fixtures.js';

/** Keys and certificates made for these tests alone; `stranger` is signed by another authority than `fleet`. */
function readFixture(name: 'fleet' | 'stranger'): Promise<LinkTls | undefined> {
  const pathOf = (file: string) =>
    fileURLToPath(new URL(`../support/tls/${file}`, import.meta.url));
  return readTlsFiles({
    tlsKeyFile: pathOf(`${name}.key`),
    tlsCertFile: pathOf(`${name}.pem`),
    tlsCaFile: pathOf('fleet-ca.pem'),
  });
}

async function startPair(serverTls: LinkTls | undefined, dialerTls: LinkTls | undefined) {
  const serverSide = recordCalls();
  const side = recordCalls();
  const server = await createLinkServer({ ...createOptions('server', serverSide), tls: serverTls });
  const options = { ...createOptions('dialer', side), tls: dialerTls };
  const dialer = createLinkDialer({ ...options, random: () => 0 });
  dialer.dial(`127.0.0.1:${server.port}`);
  const close = async () => {
    await dialer.close();
    await server.close();
  };
  return { serverSide, side, close };
}

test('a link opens over mutual TLS', async () => {
  const tls = await readFixture('fleet');
  const { serverSide, side, close } = await startPair(tls, tls);
  await waitUntil(() => side.opened.length === 1);
  side.opened[0]!.send({ kind: 'leaving', leaving: true });
  await waitUntil(() => serverSide.messages.length === 1);
  await close();
});

test('a dialer with a certificate of another authority is refused', async () => {
  const { serverSide, side, close } = await startPair(
    await readFixture('fleet'),
    await readFixture('stranger'),
  );
  await waitUntil(() => serverSide.refused.length > 0);
  assert.equal(serverSide.refused[0]!.code, 'untrusted-certificate');
  assert.equal(side.opened.length, 0);
  await close();
});

test('a server with a certificate of another authority is refused', async () => {
  const { serverSide, side, close } = await startPair(
    await readFixture('stranger'),
    await readFixture('fleet'),
  );
  await waitUntil(() => side.refused.length > 0);
  assert.equal(side.refused[0]!.code, 'untrusted-certificate');
  assert.equal(serverSide.opened.length, 0);
  await close();
});

test('a dialer without TLS opens no link to a server with TLS', async () => {
  const { serverSide, side, close } = await startPair(await readFixture('fleet'), undefined);
  await waitUntil(() => serverSide.refused.length > 0);
  assert.equal(serverSide.opened.length + side.opened.length, 0);
  await close();
});

test('a TLS file that is not there is named', async () => {
  await assert.rejects(
    readTlsFiles({ tlsKeyFile: '/none/a', tlsCertFile: '/none/b', tlsCaFile: '/none/c' }),
    /can't read TLS file \/none\/[abc]/,
  );
});
