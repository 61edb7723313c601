/** Guards against part of an answer that a caller gets as whole, since its server has answered and left during a long upload (issue 60). */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { sampleDocument, sampleEntry, waitUntil, withDeployment } from '../standins/deployment.js';

/** More than the kernel takes of a request that isn't read. */
const UPLOAD_BYTES = 7_000_000;
const ROUNDS = 6;

type Leave = (socket: Socket) => void;
const reset: Leave = (socket) => {
  socket.resetAndDestroy();
};

/** How the server leaves behind part of its answer. */
const WAYS: Record<string, Leave> = {
  'resets at once': reset,
  'resets a little later': (socket) => {
    setTimeout(() => reset(socket), 5);
  },
  'reads on and resets': (socket) => {
    socket.resume();
    setTimeout(() => reset(socket), 2);
  },
  'closes with unread bytes': (socket) => socket.destroy(),
};

/** Server that answers each request as soon as its head has come, without a length, and leaves while the body is being sent. */
async function startEarlyServer(leave: Leave, contentType: string) {
  let requests = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (bytes: Buffer) => {
      socket.pause();
      requests += 1;
      const attemptId = /^attempt-id: (.*)\r$/im.exec(bytes.toString('latin1'))![1]!;
      const head = [
        'HTTP/1.1 200 OK',
        `Attempt-Id: ${attemptId}`,
        'Response-Signature: sig',
        `Content-Type: ${contentType}`,
        'Connection: close',
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\nid: 1\ndata: part\n\n`, () => leave(socket));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { port, requestCount: () => requests, close: () => server.close() };
}

for (const [way, leave] of Object.entries(WAYS))
  for (const [route, contentType] of [
    ['once', 'text/plain'],
    ['talk', 'text/event-stream'],
  ] as const)
    test(`an answer without a length is not whole if its server ${way} during the upload (${contentType})`, async () => {
      const server = await startEarlyServer(leave, contentType);
      try {
        await withDeployment([], async ({ store, call }) => {
          const { limits, ...document } = sampleDocument(2);
          store.put('config', 'main', {
            ...document,
            limits: { ...limits, maxBodyBytes: 2 * UPLOAD_BYTES },
          });
          store.put('servers', 'i-9', sampleEntry(server.port));
          const body = 'x'.repeat(UPLOAD_BYTES);
          await waitUntil(
            async () =>
              (await call(`/${route}/1`, { method: 'POST', body })).status !== 413 &&
              server.requestCount() > 0,
          );
          for (let round = 0; round < ROUNDS; round += 1) {
            const answer = await call(`/${route}/${round}`, { method: 'POST', body });
            const isWhole = answer.status < 300 && answer.complete;
            assert.equal(isWhole, false, `${answer.status} ${answer.body}`);
          }
          assert.ok(server.requestCount() > 1);
        });
      } finally {
        server.close();
      }
    });
