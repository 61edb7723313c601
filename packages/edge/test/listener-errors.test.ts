/** Guards against a process that ends because one of its servers can't accept connections. */
import assert from 'node:assert/strict';
import { Server } from 'node:net';
import { mock, test } from 'node:test';
import { sendAnswer } from './standins/server-standin.js';
import { createDeployment } from './standins/deployment.js';

const ERRORS_PER_LISTENER = 3;

test('errors of accepting connections are logged and end neither the process nor a listener', async () => {
  const listen = mock.method(Server.prototype, 'listen');
  const deployment = await createDeployment([sendAnswer]);
  const { settings, logLines } = deployment;
  const addresses = [
    settings.callers.address,
    settings.callers.readinessAddress,
    settings.peers.address,
    settings.admin.address,
  ];
  const servers = new Set(listen.mock.calls.map((call) => call.this as Server));
  listen.mock.restore();
  try {
    const listeners = [...servers].filter((server) => {
      const address = server.address();
      return (
        address !== null &&
        typeof address === 'object' &&
        addresses.includes(`127.0.0.1:${address.port}`)
      );
    });
    assert.equal(listeners.length, addresses.length);
    const err = Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' });
    listeners.forEach((server) => {
      for (let count = 0; count < ERRORS_PER_LISTENER; count += 1) server.emit('error', err);
    });
    const logged = logLines
      .filter(({ event }) => event === 'listener-failed')
      .map(({ fields }) => fields.listener as string);
    const expected = ['admin', 'callers', 'peers', 'readiness'].flatMap((name) =>
      Array.from({ length: ERRORS_PER_LISTENER }, () => name),
    );
    assert.deepEqual(logged.sort(), expected);
    assert.equal((await deployment.call('/any/x')).status, 200);
    assert.equal(await deployment.isReady(), true);
  } finally {
    await deployment.close();
  }
});
