import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { waitUntil, withDeployment } from './standins/deployment.js';

const HALF_HEADS = 200;
const HALF_HEAD = `GET /readyz HTTP/1.1\r\n${'a:b\r\n'.repeat(1000)}`;

// Guards against connections without a whole request that take the memory or the descriptors, or keep readiness checks out.
test('readiness, metrics and links stay available beside connections with half a head', async () => {
  await withDeployment([], async ({ settings, isReady }) => {
    const { callers, admin, peers } = settings;
    const addresses = [callers.readinessAddress, admin.address, peers.address];
    for (const address of addresses) {
      const [host, port] = address.split(':');
      const sockets = Array.from({ length: HALF_HEADS }, () => {
        const socket = connect(Number(port), host);
        socket.on('error', () => undefined);
        socket.write(HALF_HEAD);
        return socket;
      });
      // The deployment's limit is less than half of them.
      await waitUntil(() => sockets.filter(({ closed }) => closed).length >= HALF_HEADS / 2);
      assert.equal(await isReady(), true);
      sockets.forEach((socket) => socket.destroy());
    }
  });
});

test('a request with a body closes its connection to the readiness listener', async () => {
  await withDeployment([], async ({ settings }) => {
    const [host, port] = settings.callers.readinessAddress.split(':');
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(
      'POST /readyz HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n',
    );
    await waitUntil(() => socket.closed);
  });
});
