import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { ReadMode, StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreResult } from '@kingcupsill/prepared-platform';
import { listObjects } from '../../src/store/list-objects.js';
import { createStoreEra } from '../../src/store/store-era.js';

const SIZE = 1024 * 1024;
const MAX_PAGES = 100;
const FOREIGN_PAGES = 8;

const era = createStoreEra(() => undefined);
const position = { era: undefined, revision: 5 };

// Guards against pages without end, all of whose objects are held until the process ends.
test('a listing whose pages do not end fails', async () => {
  const results: StoreResult<unknown>[] = [];
  const client: Pick<StoreClient, 'listPage'> = {
    async listPage() {
      const name = `n-${results.length}`;
      const nextCursor = results.length < MAX_PAGES ? name : undefined;
      const objects = [{ name, revision: 1, spec: 'x' }];
      return { ok: true, value: { objects, unreadable: [], nextCursor, position, size: SIZE } };
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

// Guards against entries of other writers that use up the heap of each router which lists the servers (review/13).
test('objects that hold nothing for the router are released with their page', async () => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
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
      return { ok: true, value: { objects, unreadable: [], nextCursor, position, size: 100 } };
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
