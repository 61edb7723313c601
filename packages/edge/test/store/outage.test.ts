/** The router through changes and failures of the store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createDeployment, sampleDocument, sampleEntry, until } from '../standins/deployment.js';
import { answerWith, createServerStandin } from '../standins/server-standin.js';

const answer = [(arrival: Parameters<typeof answerWith>[0]) => answerWith(arrival)];

test('a new configuration is in force without a restart, also over many pages of servers', async () => {
  const deployment = await createDeployment([
    ...answer,
    ...answer,
    ...answer,
    ...answer,
    ...answer,
  ]);
  const route = { ...sampleDocument().routes[1], name: 'new', pathPrefix: '/new/' };
  deployment.store.put('config', 'main', sampleDocument(2, { routes: [route] }));
  await until(async () => (await deployment.call('/new/1')).status === 200);
  assert.equal((await deployment.call('/any/1')).status, 404);
  await deployment.close();
});

test('a configuration that can’t be read changes nothing', async () => {
  const deployment = await createDeployment(answer);
  deployment.store.put('config', 'main', { version: 2, routes: 'none' });
  await until(() => deployment.logged.some(({ event }) => event === 'configuration-unreadable'));
  assert.equal((await deployment.call('/any/1')).status, 200);
  await deployment.close();
});

test('requests are served while the store is down, and changes are seen after it', async () => {
  const deployment = await createDeployment(answer);
  const { store, call, logged } = deployment;
  store.setDown(true);
  await until(() => logged.some(({ event }) => event === 'store-lost'));
  assert.equal((await call('/any/1')).status, 200);
  store.setDown(false);
  const route = { ...sampleDocument().routes[1], name: 'new', pathPrefix: '/new/' };
  store.put('config', 'main', sampleDocument(2, { routes: [route] }));
  await until(async () => (await call('/new/1')).status === 200);
  await deployment.close();
});

test('when the store has lost its history, servers that left meanwhile are gone', async () => {
  const deployment = await createDeployment([...answer, ...answer]);
  const { store, call, servers, logged } = deployment;
  // The change and the history go in one turn, so no watch can have told of it.
  store.remove('servers', 'i-0');
  store.forgetHistory();
  await until(() => logged.some(({ event }) => event === 'store-history-gone'));
  const gone = () =>
    logged.some(({ event, fields }) => event === 'server-gone' && fields.server === 'i-0@1');
  await until(gone);
  const before = servers[0]!.arrivals.length;
  for (let index = 0; index < 5; index += 1) assert.equal((await call('/any/1')).status, 200);
  assert.equal(servers[0]!.arrivals.length, before);
  await deployment.close();
});

test('an address that another server took over is found out by its id', async () => {
  const deployment = await createDeployment(answer);
  const taken = await createServerStandin((arrival) => {
    arrival.res.writeHead(421, { 'Instance-Id': 'i-9' });
    arrival.res.end();
  });
  deployment.store.put('servers', 'i-1', sampleEntry(taken.port));
  await until(() => deployment.logged.some(({ fields }) => fields.server === 'i-1'));
  for (let index = 0; index < 6; index += 1) {
    assert.equal((await deployment.call('/once/1', { method: 'POST' })).status, 200);
  }
  taken.close();
  await deployment.close();
});

test('a router registers its address and takes it out when it leaves', async () => {
  const deployment = await createDeployment(answer);
  await until(() => deployment.store.names('kingcupsill-routers').includes('router-1'));
  await deployment.router.drain();
  assert.deepEqual(deployment.store.names('kingcupsill-routers'), []);
  await deployment.close();
});
