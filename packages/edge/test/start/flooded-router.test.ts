/** Guards against a router that ends by its heap or its machine's memory because servers send without end (issue 52). */
import assert from 'node:assert/strict';
import { readFile, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { join } from 'node:path';
import { test } from 'node:test';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { sampleDocument, sampleEntry, waitUntil } from '../standins/deployment.js';
import { createServerStandin, writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { createStoreStandin } from '../standins/store-standin.js';
import { createSettingsText, withProcesses } from './router-process.js';

/** Memory of the smallest machine, and the heap of all. */
const MEMORY_MB = 210;
const NODE_ARGUMENTS = ['--max-old-space-size=128'];
const SERVERS = 3;
const CALLERS = 8;

const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(2000);
const LARGE_CHUNK = `4000\r\n${'x'.repeat(0x4000)}\r\n`;

/** Sends a body until the router closes the connection: an event in chunks of one byte on streams, else large chunks. */
function sendWithoutEnd(arrival: Arrival): void {
  const chunks = arrival.req.url!.startsWith('/stream/') ? ONE_BYTE_CHUNKS : LARGE_CHUNK;
  const socket = writeRawAnswer(arrival, ['Transfer-Encoding: chunked'], '5\r\ndata:\r\n');
  const write = (): void => {
    if (!socket.destroyed && socket.write(chunks)) setImmediate(write);
  };
  socket.on('error', () => undefined);
  socket.on('drain', write);
  write();
}

/** Returns the status of the answer; undefined without one. */
function call(address: string, path: string): Promise<number | undefined> {
  const [host, port] = address.split(':');
  const headers = { Host: 'a.example', Credential: 'key-1', 'Attempt-Id': path };
  return new Promise((resolve) => {
    const req = request({ host, port, path, headers, agent: false }, (res) => {
      res.on('error', () => undefined);
      res.on('close', () => resolve(res.statusCode));
      res.resume();
    });
    req.on('error', () => resolve(undefined));
    req.end();
  });
}

test('a router whose servers all send without end stays within its memory, and answers', async () => {
  const store = await createStoreStandin();
  const servers = await Promise.all(
    Array.from({ length: SERVERS }, () => createServerStandin(sendWithoutEnd)),
  );
  store.put('config', 'main', sampleDocument());
  servers.forEach(({ port }, index) => store.put('servers', `i-${index}`, sampleEntry(port)));
  const text = (await createSettingsText())
    .replace(/\[store\]\naddress = .*/, `[store]\naddress = 127.0.0.1:${store.port}`)
    .replace('[process]', `[process]\nmemory_mb = ${MEMORY_MB}`);
  const callers = /\naddress = (.*)/.exec(text)![1]!;
  const readiness = /readiness_address = (.*)/.exec(text)![1]!;
  try {
    await withProcesses(async (dir, start) => {
      const settingsFile = join(dir, 'settings.ini');
      await writeFile(settingsFile, text);
      const router = start({ settingsFile, nodeArguments: NODE_ARGUMENTS });
      const isReady = async () => (await call(readiness, READINESS_PATH)) === 200;
      await waitUntil(isReady);
      const callAll = (route: string) =>
        Promise.all(Array.from({ length: CALLERS }, (_item, n) => call(callers, `/${route}/${n}`)));
      const statuses = [...(await callAll('stream')), ...(await callAll('any'))];
      assert.equal(statuses.includes(undefined), false, statuses.join(' '));
      const status = await readFile(`/proc/${router.pid}/status`, 'utf8');
      const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1024;
      assert.ok(peakMb < MEMORY_MB, `${peakMb} MB`);
    });
  } finally {
    servers.forEach((server) => server.close());
    store.close();
  }
});
