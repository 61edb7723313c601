import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Counter, Registry } from 'prom-client';
import { createAdminServer, createLogger } from '../../src/index.js';
import type { AdminServerOptions, Readiness } from '../../src/index.js';

function createOptions(changes: Partial<AdminServerOptions> = {}): AdminServerOptions {
  const registry = new Registry();
  new Counter({ name: 'requests_total', help: 'requests', registers: [registry] }).inc(3);
  return {
    registry,
    dump: () => ({
      apiKey: 'a',
      accounts: new Map([['opticians', { keyHashes: ['b'], waiting: 2 }]]),
    }),
    ready: () => ({ ok: true }),
    logger: createLogger({ process: 'test', id: 't', incarnation: 'i', write: () => {} }),
    ...changes,
  };
}

test('serves metrics, health, readiness and the redacted state', async () => {
  let readiness: Readiness = { ok: true };
  const admin = await createAdminServer(createOptions({ ready: () => readiness }));
  const get = (path: string) => fetch(`http://127.0.0.1:${admin.port}${path}`);
  try {
    assert.match(await (await get('/metrics')).text(), /requests_total 3/);
    assert.equal((await get('/healthz')).status, 200);
    assert.equal((await get('/readyz')).status, 200);
    readiness = { ok: false, reason: 'no configuration' };
    const notReady = await get('/readyz');
    assert.equal(notReady.status, 503);
    assert.deepEqual(await notReady.json(), readiness);
    assert.deepEqual(await (await get('/debug/state')).json(), {
      apiKey: '[redacted]',
      accounts: { opticians: { keyHashes: '[redacted]', waiting: 2 } },
    });
    assert.equal((await get('/none')).status, 404);
  } finally {
    await admin.close();
  }
});

test('changes the log level at run time and rejects invalid levels', async () => {
  const options = createOptions();
  const admin = await createAdminServer(options);
  const put = (body: string) =>
    fetch(`http://127.0.0.1:${admin.port}/debug/log-level`, { method: 'PUT', body });
  try {
    assert.equal((await put('{"level":"debug"}')).status, 200);
    assert.equal(options.logger.level(), 'debug');
    for (const body of ['{"level":"loud"}', 'debug', '', `{"level":"${'x'.repeat(2000)}"}`]) {
      assert.equal((await put(body)).status, 400);
    }
    assert.equal(options.logger.level(), 'debug');
  } finally {
    await admin.close();
  }
});

test('requires the token for every request, and a token to be set unless the host is loopback', async () => {
  const admin = await createAdminServer(createOptions({ token: 'open sesame' }));
  const get = (path: string, token?: string) =>
    fetch(`http://127.0.0.1:${admin.port}${path}`, {
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
    });
  try {
    for (const path of ['/metrics', '/healthz', '/readyz', '/debug/state']) {
      assert.equal((await get(path)).status, 401);
      assert.equal((await get(path, 'wrong')).status, 401);
      assert.equal((await get(path, 'open sesame')).status, 200);
    }
  } finally {
    await admin.close();
  }
  await assert.rejects(createAdminServer(createOptions({ host: '0.0.0.0' })), /isn't loopback/);
});
