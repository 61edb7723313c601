/** Guards against large foreign entries, which hid all others from running routers and from those that start (review/12). */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreKind } from '@kingcupsill/prepared-platform';
import {
  isConfigInForce,
  sampleDocument,
  waitUntil,
  withDeployment,
} from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';

const repeat = <TValue>(count: number, create: (index: number) => TValue): TValue[] =>
  Array.from({ length: count }, (_none, index) => create(index));

/** Contents of about the largest size of an object. */
const CONTENTS: Record<string, () => unknown> = {
  pairs: () => repeat(130_000, (index) => [index % 10, 1]),
  'empty arrays': () => repeat(340_000, () => []),
  'empty objects': () => repeat(340_000, () => ({})),
  brackets: () => '['.repeat(1_000_000),
  braces: () => '{'.repeat(1_000_000),
  'line feeds': () => '\n'.repeat(500_000),
  digits: () => repeat(500_000, (index) => index % 10),
  keys: () => Object.fromEntries(repeat(70_000, (index) => [`k${index}`, 1])),
  'wide characters': () => '\u20ac'.repeat(340_000),
};

test('follows the store beside large foreign entries, also after a start', async () => {
  await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
    const { store, call, logLines } = deployment;
    Object.entries(CONTENTS).forEach(([name, createContent]) => {
      const content = createContent();
      store.put(StoreKind.Servers, `content of ${name}`, { service: 's1', content });
      store.put(StoreKind.Servers, `slots of ${name}`, { service: 's1', slots: content });
      store.put(StoreKind.Routers, name, { content });
    });
    store.put(StoreKind.Configuration, 'other', { routes: CONTENTS.pairs!() });
    store.put(StoreKind.Configuration, 'main', sampleDocument(2));
    await waitUntil(() => isConfigInForce(logLines, 2));
    assert.equal((await call('/any/before')).status, 200);
    await deployment.replaceRouter();
    store.put(StoreKind.Configuration, 'main', sampleDocument(3));
    await waitUntil(() => isConfigInForce(logLines, 3));
    assert.equal((await call('/any/after')).status, 200);
    store.listNames(StoreKind.Servers).forEach((name) => store.remove(StoreKind.Servers, name));
    await waitUntil(async () => (await call('/any/none')).status === 503);
  });
});
