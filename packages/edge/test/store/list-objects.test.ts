import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadMode, StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreResult } from '@kingcupsill/prepared-platform';
import { listObjects } from '../../src/store/list-objects.js';
import { createStoreEra } from '../../src/store/store-era.js';

const SIZE = 1024 * 1024;
const MAX_PAGES = 100;

// Guards against pages without end, all of whose objects are held until the process ends.
test('a listing whose pages do not end fails', async () => {
  const results: StoreResult<unknown>[] = [];
  const client: Pick<StoreClient, 'listPage'> = {
    async listPage() {
      const name = `n-${results.length}`;
      const nextCursor = results.length < MAX_PAGES ? name : undefined;
      const objects = [{ name, revision: 1, spec: 'x' }];
      const position = { era: undefined, revision: 5 };
      return { ok: true, value: { objects, unreadable: [], nextCursor, position, size: SIZE } };
    },
  };
  const listing = await listObjects(
    {
      client: client as StoreClient,
      kind: StoreKind.Servers,
      era: createStoreEra(() => undefined),
    },
    { record: (result) => results.push(result) > 0, responseTimeoutMs: () => 1000 },
    ReadMode.Current,
    () => false,
  );
  assert.equal(listing, undefined);
  const last = results.at(-1)!;
  assert.equal(last.ok || last.failure, StoreFailure.TooLarge);
});
