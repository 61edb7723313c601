/** Guards against outdated or lost state in the router after changes and failures of the store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createDeployment,
  sampleDocument,
  sampleEntry,
  waitUntil,
} from '../standins/deployment.js';
import { createServerStandin, sendAnswer } from '../standins/server-standin.js';

const oneServer = [(arrival: Parameters<typeof sendAnswer>[0]) => sendAnswer(arrival)];

test('applies a new configuration without a restart, with servers listed over several pages', async () => {
  const deployment = await createDeployment([
    ...oneServer,
    ...oneServer,
    ...oneServer,
    ...oneServer,
    ...oneServer,
  ]);
  const route = { ...sampleDocument().routes[1], name: 'new', pathPrefix: '/new/' };
  deployment.store.put('config', 'main', sampleDocument(2, { routes: [route] }));
  await waitUntil(async () => (await deployment.call('/new/1')).status === 200);
  assert.equal((await deployment.call('/any/1')).status, 404);
  await deployment.close();
});

test('keeps the current configuration when a new one is unreadable', async () => {
  const deployment = await createDeployment(oneServer);
  deployment.store.put('config', 'main', { version: 2, routes: 'none' });
  await waitUntil(() =>
    deployment.logLines.some(({ event }) => event === 'configuration-unreadable'),
  );
  assert.equal((await deployment.call('/any/1')).status, 200);
  await deployment.close();
});

test('serves requests while the store is down and applies changes after it recovers', async () => {
  const deployment = await createDeployment(oneServer);
  const { store, call, logLines } = deployment;
  store.setDown(true);
  await waitUntil(() => logLines.some(({ event }) => event === 'store-lost'));
  assert.equal((await call('/any/1')).status, 200);
  store.setDown(false);
  const route = { ...sampleDocument().routes[1], name: 'new', pathPrefix: '/new/' };
  store.put('config', 'main', sampleDocument(2, { routes: [route] }));
  await waitUntil(async () => (await call('/new/1')).status === 200);
  await deployment.close();
});

test('removes servers that were deregistered when the store lost its history', async () => {
  const deployment = await createDeployment([...oneServer, ...oneServer]);
  const { store, call, servers, logLines } = deployment;
  // Both happen in one turn of the event loop, so no watch can have returned the change.
  store.remove('servers', 'i-0');
  store.discardHistory();
  await waitUntil(() => logLines.some(({ event }) => event === 'store-history-gone'));
  const isServerRemoved = () =>
    logLines.some(({ event, fields }) => event === 'server-gone' && fields.server === 'i-0@1');
  await waitUntil(isServerRemoved);
  const arrivalsBefore = servers[0]!.arrivals.length;
  for (let index = 0; index < 5; index += 1) assert.equal((await call('/any/1')).status, 200);
  assert.equal(servers[0]!.arrivals.length, arrivalsBefore);
  await deployment.close();
});

test('retries at another server when the instance id shows that a different server took over the address', async () => {
  const deployment = await createDeployment(oneServer);
  const otherServer = await createServerStandin((arrival) => {
    const attemptId = arrival.header('attempt-id')!;
    arrival.res.writeHead(421, { 'Instance-Id': 'i-9', 'Attempt-Id': attemptId });
    arrival.res.end();
  });
  deployment.store.put('servers', 'i-1', sampleEntry(otherServer.port));
  await waitUntil(() => deployment.logLines.some(({ fields }) => fields.server === 'i-1'));
  for (let index = 0; index < 6; index += 1) {
    assert.equal((await deployment.call('/once/1', { method: 'POST' })).status, 200);
  }
  otherServer.close();
  await deployment.close();
});

test('registers the router’s address and removes it on shutdown', async () => {
  const deployment = await createDeployment(oneServer);
  await waitUntil(() => deployment.store.listNames('kingcupsill-routers').includes('router-1'));
  await deployment.router.drain();
  assert.deepEqual(deployment.store.listNames('kingcupsill-routers'), []);
  await deployment.close();
});
