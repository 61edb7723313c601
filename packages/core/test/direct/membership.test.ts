import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
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

test('a run that has stated that it leaves stays leaving, whatever is listed later; a new run under the id begins anew', () => {
  const registry = createRegistry();
  registry.put(sampleEntry('e1'));
  registry.put(sampleEntry('e2', { draining: true }));
  assert.equal(registry.markLeaving('e1@1'), true);
  assert.equal(registry.markLeaving('e1@1'), false);
  registry.recordRestore(10);
  registry.replaceAll([sampleEntry('e1'), sampleEntry('e2')], 20);
  assert.deepEqual(registry.listAvailable('engines'), []);
  registry.remove('e1', 9000);
  registry.put(sampleEntry('e1'));
  assert.deepEqual(registry.listAvailable('engines'), []);
  registry.put(sampleEntry('e1', { startedAtMs: 2 }));
  assert.deepEqual(
    registry.listAvailable('engines').map(({ key }) => key),
    ['e1@2'],
  );
});

test('after a restore from an older copy, removed servers stay removed and missing ones stay in use until they are written again', () => {
  const registry = createRegistry();
  registry.put(sampleEntry('gone'));
  registry.remove('gone', 5);
  registry.put(sampleEntry('new'));
  registry.put(sampleEntry('restarted', { startedAtMs: 7 }));
  registry.recordRestore(100);
  registry.replaceAll([sampleEntry('gone'), sampleEntry('restarted')], 100);
  const availableKeys = () => registry.listAvailable('engines').map(({ key }) => key);
  assert.deepEqual(availableKeys(), ['new@1', 'restarted@7']);
  registry.put(sampleEntry('gone'));
  assert.deepEqual(availableKeys(), ['new@1', 'restarted@7', 'gone@1']);
  registry.put(sampleEntry('restarted', { startedAtMs: 7 }));
  registry.expire(2300);
  assert.deepEqual(availableKeys(), ['restarted@7', 'gone@1']);
});

test('no order of listings, changes, restores and statements brings back a leaving run', () => {
  const ids = ['a', 'b', 'c'];
  const entry = fc.record({
    id: fc.constantFrom(...ids),
    startedAtMs: fc.integer({ min: 1, max: 3 }),
    draining: fc.boolean(),
    service: fc.constantFrom('engines', 'orders'),
  });
  const step = fc.oneof(
    fc.record({ kind: fc.constant('put' as const), entry }),
    fc.record({ kind: fc.constant('list' as const), entries: fc.array(entry, { maxLength: 3 }) }),
    fc.record({ kind: fc.constant('remove' as const), id: fc.constantFrom(...ids) }),
    fc.record({ kind: fc.constant('leave' as const), entry }),
    fc.record({ kind: fc.constant('restore' as const) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const registry = createRegistry();
      const leaving = new Set<string>();
      const keyOf = (each: { id: string; startedAtMs: number }) => `${each.id}@${each.startedAtMs}`;
      steps.forEach((each, index) => {
        const nowMs = index * 300;
        if (each.kind === 'put') registry.put(sampleEntry(each.entry.id, each.entry));
        if (each.kind === 'list') {
          registry.replaceAll(
            each.entries.map((listed) => sampleEntry(listed.id, listed)),
            nowMs,
          );
        }
        if (each.kind === 'remove') registry.remove(each.id, nowMs);
        if (each.kind === 'restore') registry.recordRestore(nowMs);
        if (each.kind === 'leave') {
          registry.markLeaving(keyOf(each.entry));
          leaving.add(keyOf(each.entry));
        }
        registry.expire(nowMs);
        const available = ['engines', 'orders'].flatMap((service) =>
          registry.listAvailable(service),
        );
        assert.ok(
          available.every(({ key, entry: { draining } }) => !leaving.has(key) && !draining),
        );
        assert.equal(new Set(available.map(({ entry: { id } }) => id)).size, available.length);
      });
    }),
    { seed: 23, numRuns: 300 },
  );
});
