import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';

import { request } from 'undici';

import { listenHttp } from '../../src/http-listener.js';

const RESPONSE_BYTES = 32 * 1024 * 1024;

test('waitForIdle resolves only after a slow client has received the whole response', async () => {
  const server = createServer((_req, res) => res.end(Buffer.alloc(RESPONSE_BYTES)));
  const listener = await listenHttp(server, '127.0.0.1', 0);
  await listener.waitForIdle();
  const res = await request(`http://127.0.0.1:${listener.port}/`);
  let isIdle = false;
  const idle = listener.waitForIdle().then(() => {
    isIdle = true;
  });
  let receivedBytes = 0;
  for await (const chunk of res.body) {
    if (receivedBytes === 0) assert.ok(!isIdle);
    receivedBytes += (chunk as Buffer).length;
  }
  await idle;
  await listener.close();
  assert.equal(receivedBytes, RESPONSE_BYTES);
});

// Guards against kept connections that are reset after a pause of the process, though requests have arrived on them in time.
test('a request that arrives on a kept connection while the process is paused is answered', async () => {
  const server = createServer((_req, res) => res.end('answer'));
  server.keepAliveTimeout = 200;
  const listener = await listenHttp(server, '127.0.0.1', 0);
  const caller = connect(listener.port, '127.0.0.1');
  let received = '';
  caller.on('error', () => undefined);
  caller.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await once(caller, 'data');
  caller.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2000);
  await once(caller, 'close');
  await listener.close();
  assert.equal(received.match(/answer/g)?.length, 2);
});
