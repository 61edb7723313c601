import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createServerRegistry } from '../../src/direct/index.js';
import { sampleEntry } from './sample.js';

const create = () => createServerRegistry({ outageThresholdMs: 3000, renewalGraceMs: 2200 });

test('an entry that goes while the store answers is gone at once', () => {
  const registry = create();
  registry.recordStoreAnswer(0);
  registry.put(sampleEntry('e1'));
  registry.recordStoreAnswer(1500);
  assert.deepEqual(registry.remove('e1', 1600), ['e1@1']);
  assert.equal(registry.listAvailable('engines').length, 0);
});

test('entries that lapsed during an outage are used until live servers have renewed theirs', () => {
  const registry = create();
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

test('a listing after lost history removes what it lacks', () => {
  const registry = create();
  registry.recordStoreAnswer(0);
  registry.put(sampleEntry('e1'));
  registry.recordStoreAnswer(2000);
  assert.deepEqual(registry.replaceAll([sampleEntry('e2')], 2000), ['e1@1']);
  assert.deepEqual(
    registry.listAvailable('engines').map(({ entry }) => entry.id),
    ['e2'],
  );
});

test('the same id started again is another server, of which nothing is known', () => {
  const registry = create();
  registry.put(sampleEntry('e1'));
  assert.deepEqual(registry.put(sampleEntry('e1', { startedAtMs: 2 })), ['e1@1']);
  assert.deepEqual(
    registry.listAvailable('engines').map(({ key }) => key),
    ['e1@2'],
  );
});
