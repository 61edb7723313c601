import assert from 'node:assert/strict';
import { test } from 'node:test';
import { composeProcess } from '../../src/index.js';

interface Components {
  store: string;
  server: Promise<string>;
  unused: string;
  probe: string;
}

function composeSample(closed: string[]) {
  return composeProcess<Components>({
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

test('components are created once and closed in reverse order, even after an error', async () => {
  const closed: string[] = [];
  const { components, close } = composeSample(closed);
  assert.equal(components.server, components.server);
  assert.equal(await components.server, 'store server');
  assert.equal(components.probe, 'store probed');
  await assert.rejects(close(), /closing component store failed: stuck/);
  assert.deepEqual(closed, ['store server', 'store']);
  await close();
  assert.equal(closed.length, 2);
});
