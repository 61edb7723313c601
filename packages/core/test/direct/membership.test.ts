import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createServerRegistry } from '../../src/direct/index.js';
import { sampleEntry } from './sample.js';

const createRegistry = () =>
  createServerRegistry({ outageThresholdMs: 3000, renewalGraceMs: 2200 });

test('an entry that is deleted while the store answers is removed immediately', () => {
  const registry = createRegistry();
  registry.recordStoreAnswer(0);
  registry.put(sampleEntry('e1'));
  registry.recordStoreAnswer(1500);
  assert.deepEqual(registry.remove('e1', 1600), ['e1@1']);
  assert.equal(registry.listAvailable('engines').length, 0);
});

test('entries that expired during an outage stay in use until the live servers have renewed theirs', () => {
  const registry = createRegistry();
  registry.recordStoreAnswer(0);
  registry.put(sampleEntry('e1'));
  registry.put(sampleEntry('e2'));
  registry.recordStoreAnswer(8000);
  assert.deepEqual(registry.remove('e1', 8000), []);
  assert.deepEqual(registry.remove('e2', 8010), []);
  assert.equal(registry.listAvailable('engines').length, 2);
  registry.put(sampleEntry('e1'));
  assert.deepEqual(registry.expire(10_199), []);
  assert.deepEqual(registry.expire(10_200), ['e2@1']);
  assert.deepEqual(
    registry.listAvailable('engines').map(({ entry }) => entry.id),
    ['e1'],
  );
});

test('a full listing after lost history removes the servers that are missing from it', () => {
  const registry = createRegistry();
  registry.recordStoreAnswer(0);
  registry.put(sampleEntry('e1'));
  registry.recordStoreAnswer(2000);
  assert.deepEqual(registry.replaceAll([sampleEntry('e2')], 2000), ['e1@1']);
  assert.deepEqual(
    registry.listAvailable('engines').map(({ entry }) => entry.id),
    ['e2'],
  );
});

test('a server restarted under the same id is a new server', () => {
  const registry = createRegistry();
  registry.put(sampleEntry('e1'));
  assert.deepEqual(registry.put(sampleEntry('e1', { startedAtMs: 2 })), ['e1@1']);
  assert.deepEqual(
    registry.listAvailable('engines').map(({ key }) => key),
    ['e1@2'],
  );
});
