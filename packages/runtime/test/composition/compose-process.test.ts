import assert from 'node:assert/strict';
import { test } from 'node:test';
import { composeProcess } from '../../src/index.js';

interface Parts {
  store: string;
  server: Promise<string>;
  unused: string;
  probe: string;
}

function composeSample(closed: string[]) {
  return composeProcess<Parts>({
    probe: { create: ({ store }) => `${store} probed` },
    server: {
      create: ({ store }) => Promise.resolve(`${store} server`),
      close: (server) => {
        closed.push(server);
      },
    },
    store: {
      create: () => 'store',
      close: (store) => {
        closed.push(store);
        throw new Error('stuck');
      },
    },
    unused: {
      create: () => 'unused',
      close: (unused) => {
        closed.push(unused);
      },
    },
  });
}

test('parts are made once, closed latest first, and an error stops no other close', async () => {
  const closed: string[] = [];
  const { components: parts, close } = composeSample(closed);
  assert.equal(parts.server, parts.server);
  assert.equal(await parts.server, 'store server');
  assert.equal(parts.probe, 'store probed');
  await assert.rejects(close(), /closing part store failed: stuck/);
  assert.deepEqual(closed, ['store server', 'store']);
  await close();
  assert.equal(closed.length, 2);
});
