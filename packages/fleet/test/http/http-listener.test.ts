import assert from 'node:assert/strict';
import { createServer } from 'node:http';
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
