import assert from 'node:assert/strict';
import { test } from 'node:test';

import { EMPTY_CONFIG } from '@kingcupsill/core';
import { listenHttp } from '@kingcupsill/fleet';
import { request } from 'undici';

import { createCallerApp } from '../../src/callers/caller-app.js';
import { createConfigIndex } from '../../src/config-index/config-index.js';

const HOST = '127.0.0.1';

test('responds with not_ready rather than unknown_key while the router has no configuration', async () => {
  const app = createCallerApp({
    configIndex: () => createConfigIndex(EMPTY_CONFIG),
    dispatch: () => assert.fail('no request may be dispatched'),
    clock: () => 0,
    wallClock: () => 0,
    random: () => 0,
    addRequest: () => assert.fail('no request may be registered'),
    maxBodyBytes: 1024,
  });
  const server = await listenHttp(app, HOST, 0);
  try {
    const res = await request(`http://${HOST}:${server.port}/v1/models`, {
      headers: { authorization: 'Bearer some-key' },
    });
    const { error } = (await res.body.json()) as { error: { code: string; ran: string } };
    assert.equal(res.statusCode, 503);
    assert.equal(res.headers['retry-after'], '1');
    assert.deepEqual({ code: error.code, ran: error.ran }, { code: 'not_ready', ran: 'no' });
  } finally {
    await server.close();
  }
});
