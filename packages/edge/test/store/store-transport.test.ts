/** Guards against calls that wait on connections to the store which have gone silent while they rested. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { MAX_IDLE_MS } from '../../src/store/change-timing.js';
import { createStoreTransport } from '../../src/store/store-transport.js';

async function startStore(t: TestContext) {
  const connections: Socket[] = [];
  /** Answers after the time that the path states in milliseconds. */
  const server = createServer(async (req, res) => {
    await delay(Number(req.url!.slice(1)));
    res.end('{}');
  });
  server.on('connection', (socket) => connections.push(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const transport = createStoreTransport(() => ({ host: '127.0.0.1', port }));
  t.after(() => {
    transport.close();
    server.close();
    server.closeAllConnections();
  });
  const call = (heldMs: number, signal?: AbortSignal) =>
    transport.send({ method: 'GET', path: `/${heldMs}`, body: undefined, timeoutMs: 5000, signal });
  return { connections, call };
}

test('a connection is used again at once, but not after a rest; a call that is held longer keeps its own', async (t) => {
  const { connections, call } = await startStore(t);
  await call(0);
  assert.equal((await call(MAX_IDLE_MS + 200)).ok, true);
  assert.equal(connections.length, 1);
  await once(connections[0]!, 'close');
  assert.equal((await call(0)).ok, true);
  assert.equal(connections.length, 2);
});

test('an aborted call fails, and its connection is closed', async (t) => {
  const { connections, call } = await startStore(t);
  const controller = new AbortController();
  const pending = call(3000, controller.signal);
  while (connections.length === 0) await delay(5);
  controller.abort();
  assert.equal((await pending).ok, false);
  if (!connections[0]!.destroyed) await once(connections[0]!, 'close');
});
