import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { sendHttpCall } from '../../src/http-call.js';

const CALL = { agent: new Agent(), host: '127.0.0.1', port: 9, method: 'GET', path: '/' };

// Guards against a rejection, which ends the process, of a call that Node refuses to build.
test('a call that can not be built fails like one without an answer', async () => {
  const unbuildable = [{ port: 70_000 }, { path: '/two words' }, { host: 'two\nlines' }];
  for (const part of unbuildable) {
    const result = await sendHttpCall({ ...CALL, ...part, timeoutMs: 100, maxBytes: 10 });
    assert.equal(result.ok, false);
  }
});

/** Returns the result of a call to a server that writes `first`, and then `unit` without end. */
async function callEndless(first: string, unit: string) {
  const block = unit.repeat(1000);
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    const write = (): void => {
      if (!socket.destroyed) socket.write(block, () => setImmediate(write));
    };
    socket.on('error', () => undefined);
    socket.write(first, write);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const agent = new Agent();
  // No limit but the one of the test is reached first.
  const limits = { timeoutMs: 60_000, maxBytes: Number.POSITIVE_INFINITY };
  const result = await sendHttpCall({ ...CALL, agent, port, ...limits });
  sockets.forEach((socket) => socket.destroy());
  server.close();
  return result;
}

// Guards against responses within their size that end the process by the heap of their pieces.
test('a response in pieces of one byte fails', async () => {
  const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
  const result = await callEndless(head, '1\r\nx\r\n');
  assert.deepEqual(result, { ok: false, detail: 'response in too many pieces' });
});

// Guards against interim responses without end, which take the event loop until the timeout.
test('a call that gets interim responses without end fails', async () => {
  const result = await callEndless('', 'HTTP/1.1 103 Early Hints\r\n\r\n');
  assert.deepEqual(result, { ok: false, detail: 'too many interim responses' });
});
