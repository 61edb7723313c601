import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createBalancer } from '../../src/load/index.js';
import type { Destination, LoadClient, ScheduledRequest } from '../../src/load/index.js';

const ROUTERS = ['r0', 'r1', 'r2'].map((name) => ({ name, url: `http://${name}` }));

const createTestBalancer = () =>
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

/** Creates a client for which the given routers refuse connections; records the routers it tried. */
const createRefusingClient = (refusing: string[], triedRouters: string[]): LoadClient => ({
  send: async (_req: ScheduledRequest, { router, pool }: Destination) => {
    triedRouters.push(router);
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

test('skips a router while it is out of rotation', () => {
  const { route, setInRotation } = createTestBalancer();
  assert.deepEqual(route(req), { router: 'r1', url: 'http://r1', apiKey: 'key-a', pool: 'p' });
  setInRotation('r1', false);
  assert.equal(route(req).router, 'r2');
  setInRotation('r1', true);
  assert.equal(route(req).router, 'r1');
});

test('tries each following router once when connections are refused', async () => {
  const triedRouters: string[] = [];
  const record = await createTestBalancer().send(
    createRefusingClient(['r1', 'r2'], triedRouters),
    req,
  );
  assert.deepEqual(triedRouters, ['r1', 'r2', 'r0']);
  assert.equal(record.outcome, 'completed');
  const allTried: string[] = [];
  const failed = await createTestBalancer().send(
    createRefusingClient(['r0', 'r1', 'r2'], allTried),
    req,
  );
  assert.equal(allTried.length, 3);
  assert.equal(failed.outcome, 'failed');
});
