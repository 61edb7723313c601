/** Guards against a router that exceeds its memory by bodies that the kernel holds for slow servers after their attempts have ended. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { startAttempt } from '../../src/relay/attempt.js';
import { createServerConnections } from '../../src/relay/server-connections.js';
import type { AttemptListener, AttemptRequest, ResponseSink } from '../../src/relay/types.js';
import { sendAnswer } from '../standins/server-standin.js';
import { withDeployment } from '../standins/deployment.js';

test('a server gets no rest of a large body whose attempt was cancelled', async () => {
  const server = createServer({ pauseOnConnect: true }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 100,
    responseBytes: 1024 * 1024,
  });
  const req: Partial<AttemptRequest> = {
    method: 'POST',
    path: '/',
    headers: ['Host', 'a.example'],
    body: Buffer.alloc(4_000_000),
    host: '127.0.0.1',
    port: (server.address() as AddressInfo).port,
    usedSockets: new Set(),
  };
  const attempt = startAttempt(
    connections,
    req as AttemptRequest,
    {} as ResponseSink,
    {} as AttemptListener,
  );
  const [socket] = (await once(server, 'connection')) as [Socket];
  await once(socket.resume(), 'data');
  socket.pause();
  attempt.cancel();
  await assert.rejects(once(socket.resume(), 'end'), { code: 'ECONNRESET' });
  socket.destroy();
  connections.close();
  server.close();
});

// Guards against requests that are lost because an earlier one on their connection is taken for abandoned.
test('the connection of a large body whose attempt has ended well is used again', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async ({ call, servers }) => {
    const body = 'x'.repeat(90_000);
    for (let n = 0; n < 5; n += 1)
      assert.equal((await call('/any/x', { method: 'POST', body })).status, 200);
    const { arrivals } = servers[0]!;
    const large = arrivals.filter((arrival) => arrival.body.length === body.length);
    assert.equal(large.length, 5);
    assert.equal(new Set(large.map(({ req }) => req.socket)).size, 1);
  });
});
