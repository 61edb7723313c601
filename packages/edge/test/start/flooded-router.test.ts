/** Guards against a router that ends by its heap or its machine's memory because servers send without end (issue 52). */
import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { callForStatus, withRouterProcess } from './process-deployment.js';

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

test('a router whose servers all send without end stays within its memory, and answers', async () => {
  const handlers = Array.from({ length: SERVERS }, () => sendWithoutEnd);
  const options = { handlers, memoryMb: MEMORY_MB, nodeArguments: NODE_ARGUMENTS };
  await withRouterProcess(options, async ({ router, callers }) => {
    const callAll = (route: string) =>
      Promise.all(
        Array.from({ length: CALLERS }, (_item, n) => callForStatus(callers, `/${route}/${n}`)),
      );
    const statuses = [...(await callAll('stream')), ...(await callAll('any'))];
    assert.equal(statuses.includes(undefined), false, statuses.join(' '));
    const status = await readFile(`/proc/${router.pid}/status`, 'utf8');
    const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1024;
    assert.ok(peakMb < MEMORY_MB, `${peakMb} MB`);
  });
});
