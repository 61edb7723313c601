/** Guards against objects of other writers that end the routers which read them, or keep them from following the store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreKind } from '@kingcupsill/prepared-platform';
import {
  createDeployment,
  sampleDocument,
  sampleEntry,
  waitUntil,
} from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';

/** Deep enough to exhaust the stack of a recursive decoder. */
const NESTING_DEPTH = 20_000;

function nest(depth: number): unknown {
  let value: unknown = {};
  for (let level = 0; level < depth; level += 1) value = { value };
  return value;
}

const ODD_ENTRIES: Record<string, unknown> = {
  'port-70000': sampleEntry(70_000),
  'port-65536': sampleEntry(65_536),
  'port-0': sampleEntry(0),
  host: sampleEntry(80, { address: 'two words:80' }),
  'two\nlines': sampleEntry(1),
  service: sampleEntry(1, { service: '\ud800' }),
  version: sampleEntry(1, { version: '\udfff' }),
  born: sampleEntry(1, { born: 1e308 }),
  slots: sampleEntry(1, { slots: 1e308 }),
  state: sampleEntry(1, { state: '__proto__' }),
  number: 5,
  nothing: null,
};

const ODD_ROUTERS: Record<string, unknown> = {
  'port-70000': { address: '127.0.0.1:70000', incarnation: 'x' },
  host: { address: 'two words:80', incarnation: 'x' },
  cores: { address: '127.0.0.1:9', incarnation: 'x', cores: -1e308 },
  '\ud800': { address: '127.0.0.1:9', incarnation: 'x' },
  nothing: null,
};

test('serves and follows the store beside odd objects of other writers', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  const { store, call } = deployment;
  const engine = { slots: 8, kvCapacity: 1000 };
  const withEngines = { services: [{ name: 's1', maxConns: 100, engine }] };
  Object.entries(ODD_ENTRIES).forEach(([name, spec]) => store.put(StoreKind.Servers, name, spec));
  Object.entries(ODD_ROUTERS).forEach(([name, spec]) => store.put(StoreKind.Routers, name, spec));
  store.put(StoreKind.Streams, 'versions.s2', { service: 's2', versions: nest(NESTING_DEPTH) });
  store.put(StoreKind.Streams, '\ud800', { streams: { __proto__: [] } });
  store.put('config', 'main', sampleDocument(2, withEngines));
  const isInForce = (version: number) =>
    deployment.logLines.some(
      ({ event, fields }) => event === 'configuration-in-force' && fields.version === version,
    );
  await waitUntil(() => isInForce(2));
  const statuses = [];
  for (let index = 0; index < 10; index += 1) statuses.push((await call(`/any/${index}`)).status);
  // A router that starts lists all objects, and asks the engines for their caches.
  await deployment.replaceRouter();
  store.put('config', 'main', sampleDocument(3, withEngines));
  await waitUntil(() => isInForce(3));
  statuses.push((await call('/any/last')).status);
  await deployment.close();
  assert.deepEqual(new Set(statuses), new Set([200]));
  const reported = deployment.logLines.filter(({ event }) => event === 'server-unreadable');
  assert.ok(reported.length >= Object.keys(ODD_ENTRIES).length - 2);
});
