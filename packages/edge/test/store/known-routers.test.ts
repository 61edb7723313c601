/** Guards against a machine whose address an earlier one had: its router linked to itself, and others reported to it twice. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { WebSocketServer } from 'ws';
import { createKnownRouters } from '../../src/store/known-routers.js';
import type { RegisteredRouter } from '../../src/store/router-registration.js';
import { withDeployment } from '../standins/deployment.js';
import { findFreePort } from '../standins/free-port.js';

const own = { name: 'router-own', address: '10.0.0.9:8785', zone: 'z1', cores: 1 };

function createEntry(name: string, address: string, revision: number): RegisteredRouter {
  return { name, revision, entry: { address, incarnation: 'i', zone: 'z1', cores: 1 } };
}

function namesOf(entries: readonly RegisteredRouter[]): string[] {
  const routers = createKnownRouters(() => own);
  entries.forEach((entry) => routers.add(entry));
  return routers.list().map(({ name }) => name);
}

test('an earlier router at the own address is no peer', () => {
  const earlier = createEntry('router-earlier', own.address, 3);
  assert.deepEqual(namesOf([earlier, createEntry('router-own', own.address, 8)]), ['router-own']);
  assert.deepEqual(namesOf([createEntry('router-later', own.address, 9)]), ['router-own']);
});

test('of several routers at one address the latest entry counts, in any order', () => {
  const earlier = createEntry('router-earlier', '10.0.0.5:8785', 3);
  const later = createEntry('router-later', '10.0.0.5:8785', 7);
  assert.deepEqual(namesOf([earlier, later]), ['router-later', 'router-own']);
  assert.deepEqual(namesOf([later, earlier]), ['router-later', 'router-own']);
});

test('an entry of an earlier run of this router hides no other router', () => {
  const earlierRun = createEntry('router-own', '10.0.0.5:8785', 9);
  const other = createEntry('router-other', '10.0.0.5:8785', 7);
  assert.deepEqual(namesOf([earlierRun, other]), ['router-other', 'router-own']);
});

test('a router does not link to itself in place of an earlier router at its address', async (t) => {
  const port = await findFreePort();
  const other = new WebSocketServer({ host: '127.0.0.1', port });
  t.after(() => other.close());
  await withDeployment([], async ({ store, settings, logLines }) => {
    const register = (name: string, address: string): void =>
      store.put('kingcupsill-routers', name, { ...own, address, incarnation: 'i' });
    register('router-earlier', settings.peers.address);
    register('router-other', `127.0.0.1:${port}`);
    // Links are opened in the order of the entries.
    await once(other, 'connection');
    const links = logLines.flatMap(({ event, fields }) =>
      event === 'peer-linked' ? [String(fields.link)] : [],
    );
    assert.deepEqual(
      links.filter((link) => !link.includes('router-other')),
      [],
    );
  });
});
