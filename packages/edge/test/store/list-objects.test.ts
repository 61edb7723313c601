import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { decodeServer, ReadMode, StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreResult } from '@kingcupsill/prepared-platform';
import { listObjects } from '../../src/store/list-objects.js';
import { createStoreEra } from '../../src/store/store-era.js';
import { createGarbageCollector } from '../standins/collect-garbage.js';

/** Largest object that the store takes. */
const SIZE = 1024 * 1024;
const MAX_PAGES = 100;
const FOREIGN_PAGES = 8;
const ENDLESS_PAGES = 2000;

const era = createStoreEra(() => undefined);
const position = { era: undefined, revision: 5 };

// Guards against pages without end, all of whose objects are held until the process ends.
test('a listing whose pages do not end fails', async () => {
  const results: StoreResult<unknown>[] = [];
  const client: Pick<StoreClient, 'listPage'> = {
    async listPage() {
      const name = `n-${results.length}`;
      const nextCursor = results.length < MAX_PAGES ? name : undefined;
      const objects = [{ name, revision: 1, spec: 'x'.repeat(SIZE) }];
      return { ok: true, value: { objects, unreadable: [], nextCursor, position } };
    },
  };
  const listing = await listObjects(
    {
      client: client as StoreClient,
      kind: StoreKind.Servers,
      era,
      read: (object) => object,
    },
    { record: (result) => results.push(result) > 0, responseTimeoutMs: () => 1000 },
    ReadMode.Current,
    () => false,
  );
  assert.equal(listing, undefined);
  const last = results.at(-1)!;
  assert.equal(last.ok || last.failure, StoreFailure.TooLarge);
});

// Guards against foreign entries that use up the heap of each router which lists the servers (review/13).
test('objects that hold nothing for the router are released with their page', async () => {
  const collectGarbage = createGarbageCollector();
  const specs: WeakRef<object>[] = [];
  const alive: number[] = [];
  const client: Pick<StoreClient, 'listPage'> = {
    async listPage() {
      // References count as held until the end of a turn of the event loop.
      await nextTurn();
      collectGarbage();
      alive.push(specs.filter((spec) => spec.deref() !== undefined).length);
      const name = `foreign-${specs.length}`;
      const spec = { slots: [[1, 2]] };
      specs.push(new WeakRef(spec));
      const nextCursor = specs.length < FOREIGN_PAGES ? name : undefined;
      const objects = [{ name, revision: 1, spec }];
      return { ok: true, value: { objects, unreadable: [], nextCursor, position } };
    },
  };
  const listing = await listObjects(
    { client: client as StoreClient, kind: StoreKind.Servers, era, read: () => undefined },
    { record: () => true, responseTimeoutMs: () => 1000 },
    ReadMode.Current,
    () => false,
  );
  assert.deepEqual(listing, { values: [], unreadable: [], position });
  // The last page may still be on the stack.
  assert.ok(Math.max(...alive) <= 1, `entries alive at each page: ${alive}`);
});

const LARGE_TEXT = 'x'.repeat(SIZE);
/** One that states no server, and one that does but for the length of a field. */
const FOREIGN_SPECS = [
  { service: 'inventory', text: LARGE_TEXT },
  { service: 's1', address: '127.0.0.1:1', state: 'ready', zone: LARGE_TEXT },
];

/** Lists pages of one foreign entry each. */
async function listForeignPages(
  pages: number,
  spec: unknown,
): Promise<{ wasListed: boolean; calls: number }> {
  let calls = 0;
  const client: Pick<StoreClient, 'listPage'> = {
    async listPage() {
      calls += 1;
      const name = `foreign-${calls}`;
      const nextCursor = calls < pages ? name : undefined;
      const objects = [{ name, revision: 1, spec }];
      return { ok: true, value: { objects, unreadable: [], nextCursor, position } };
    },
  };
  const listing = await listObjects(
    {
      client: client as StoreClient,
      kind: StoreKind.Servers,
      era,
      read: ({ name, spec: content }) => {
        const decoded = decodeServer(name, content);
        return decoded.ok ? decoded.value : undefined;
      },
    },
    { record: () => true, responseTimeoutMs: () => 1000 },
    ReadMode.Current,
    () => false,
  );
  return { wasListed: listing !== undefined, calls };
}

// Guards against foreign entries that keep each router from getting ready after its start (review/14).
test('any number of large foreign entries is listed, but not pages without end', async () => {
  for (const spec of FOREIGN_SPECS)
    assert.deepEqual(await listForeignPages(64, spec), { wasListed: true, calls: 64 });
  const endless = await listForeignPages(ENDLESS_PAGES, FOREIGN_SPECS[0]);
  assert.equal(endless.wasListed, false);
  assert.ok(endless.calls < ENDLESS_PAGES);
});
