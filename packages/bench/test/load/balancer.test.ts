import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createBalancer } from '../../src/load/index.js';
import type { Destination, LoadClient, ScheduledRequest } from '../../src/load/index.js';

const ROUTERS = ['r0', 'r1', 'r2'].map((name) => ({ name, url: `http://${name}` }));

const balancer = () =>
  createBalancer({
    routers: ROUTERS,
    accounts: [{ id: 'a', apiKey: 'key-a' }],
    pools: { s: 'p' },
  });

const req: ScheduledRequest = {
  id: 'x',
  logicalId: 'x',
  atMs: 0,
  account: 'a',
  routerPosition: 0.4,
  call: { kind: 'lookup', service: 's', promptChars: 0, answerTokens: 0 },
};

/** A client whose named routers refuse connections. */
const clientRefusedBy = (refusing: string[], asked: string[]): LoadClient => ({
  send: async (_req: ScheduledRequest, { router, pool }: Destination) => {
    asked.push(router);
    const refused = refusing.includes(router);
    return {
      id: 'x',
      logicalId: 'x',
      account: 'a',
      service: 's',
      pool,
      router,
      idempotent: true,
      sentMs: 0,
      endMs: 1,
      outcome: refused ? 'failed' : 'completed',
      status: refused ? 0 : 200,
      code: refused ? 'ECONNREFUSED' : undefined,
    };
  },
  close: async () => {},
});

test('a router out of use is passed over until it is back', () => {
  const { route, setInRotation } = balancer();
  assert.deepEqual(route(req), { router: 'r1', url: 'http://r1', apiKey: 'key-a', pool: 'p' });
  setInRotation('r1', false);
  assert.equal(route(req).router, 'r2');
  setInRotation('r1', true);
  assert.equal(route(req).router, 'r1');
});

test('a refused connection is tried at the next routers, each once', async () => {
  const asked: string[] = [];
  const record = await balancer().send(clientRefusedBy(['r1', 'r2'], asked), req);
  assert.deepEqual(asked, ['r1', 'r2', 'r0']);
  assert.equal(record.outcome, 'completed');
  const all: string[] = [];
  const failed = await balancer().send(clientRefusedBy(['r0', 'r1', 'r2'], all), req);
  assert.equal(all.length, 3);
  assert.equal(failed.outcome, 'failed');
});
