/** Guards against changes that are missed or undone when the store is restored from an older copy and gives out revisions again. */
import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { test } from 'node:test';
import { StoreFailure } from '@kingcupsill/prepared-platform';
import type { StoreChangeBatch, StoreClient, StoreResult } from '@kingcupsill/prepared-platform';
import { createObjectFeed } from '../../src/store/object-feed.js';
import { createFeedOptions } from '../standins/feed-options.js';
import { createStoreEra } from '../../src/store/store-era.js';
import type { StoreEra } from '../../src/store/store-era.js';
import {
  createDeployment,
  sampleDocument,
  sampleEntry,
  waitUntil,
} from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';

/** Returns the answer of a watch without changes. */
function pendingForever(): Promise<StoreResult<StoreChangeBatch>> {
  return once(new EventEmitter(), 'answer') as Promise<never>;
}

interface FeedRecord {
  lists: number;
  changes: number;
  watchedRevisions: number[];
}

/** Runs a feed whose lists answer in `listEra()` at revision 5 and whose watches are answered in order, the last one for ever. */
function startFeed(
  era: StoreEra,
  listEra: () => number,
  watches: (() => Promise<StoreResult<StoreChangeBatch>>)[],
) {
  const record: FeedRecord = { lists: 0, changes: 0, watchedRevisions: [] };
  const client: Pick<StoreClient, 'listPage' | 'watch'> = {
    async listPage() {
      record.lists += 1;
      const position = { era: listEra(), revision: 5 };
      return {
        ok: true,
        value: { objects: [], unreadable: [], nextCursor: undefined, position },
        era: listEra(),
      };
    },
    watch(_kind, { revision }) {
      record.watchedRevisions.push(revision);
      return watches.shift()?.() ?? pendingForever();
    },
  };
  const feed = createObjectFeed(
    createFeedOptions(client, {
      era,
      onChanged() {
        record.changes += 1;
      },
    }),
  );
  return { record, feed };
}

const change = { object: { name: 'i-1', revision: 6, spec: {} }, removed: false };
const answer = async (era: number): Promise<StoreResult<StoreChangeBatch>> => ({
  ok: true,
  value: { changes: [change], unreadable: [], position: { era, revision: 6 } },
  era,
});

test('a watch that is answered in a later era changes nothing, and the objects are listed again', async () => {
  const state = { era: 1 };
  const restored: number[] = [];
  const era = createStoreEra((next) => restored.push(next));
  const { record, feed } = startFeed(era, () => state.era, [
    () => answer(1),
    () => {
      state.era = 2;
      return answer(2);
    },
  ]);
  await waitUntil(() => record.watchedRevisions.length === 3);
  feed.close();
  assert.deepEqual(record, { lists: 2, changes: 1, watchedRevisions: [5, 6, 5] });
  assert.deepEqual(restored, [2]);
});

test('a waiting feed lists at once when another call has seen a later era', async () => {
  const state = { era: 1 };
  const era = createStoreEra(() => undefined);
  const { record, feed } = startFeed(era, () => state.era, []);
  await waitUntil(() => record.watchedRevisions.length === 1);
  state.era = 2;
  era.observe(2);
  await waitUntil(() => record.watchedRevisions.length === 2);
  feed.close();
  assert.equal(record.lists, 2);
});

test('an answer of an era that has ended changes nothing, however late it arrives', async () => {
  const era = createStoreEra(() => undefined);
  era.observe(2);
  const { record, feed } = startFeed(era, () => 2, [
    () => answer(1),
    async () => ({ ok: false, failure: StoreFailure.HistoryGone, detail: 'gone', era: 1 }),
  ]);
  await waitUntil(() => record.watchedRevisions.length === 3);
  feed.close();
  assert.equal(record.changes, 0);
});

test('after a restore from an older copy the router registers again, keeps its configuration and uses no server that had left', async () => {
  const deployment = await createDeployment(
    [sendAnswer, sendAnswer].map((send) => (arrival) => send(arrival)),
  );
  const { store, servers, settings, logLines, call } = deployment;
  try {
    await waitUntil(() => store.listNames('kingcupsill-routers').length === 1);
    store.keepCopy();
    store.put('config', 'main', sampleDocument(2));
    store.put('servers', 'i-1', sampleEntry(servers[1]!.port, { state: 'draining' }));
    store.remove('kingcupsill-routers', settings.process.id);
    await waitUntil(() => logLines.some(({ event }) => event === 'registration-missing'));
    await waitUntil(() =>
      logLines.some(
        ({ event, fields }) => event === 'configuration-in-force' && fields?.version === 2,
      ),
    );
    store.restoreCopy();
    store.remove('kingcupsill-routers', settings.process.id);
    await waitUntil(() => logLines.some(({ event }) => event === 'store-restored'));
    await waitUntil(() => store.listNames('kingcupsill-routers').length === 1);
    const arrivedBefore = servers[1]!.arrivals.length;
    for (let index = 0; index < 10; index += 1) assert.equal((await call('/any/1')).status, 200);
    assert.equal(servers[1]!.arrivals.length, arrivedBefore);
    const versions = logLines.flatMap(({ event, fields }) =>
      event === 'configuration-in-force' ? [fields?.version] : [],
    );
    assert.deepEqual(versions, [1, 2]);
  } finally {
    await deployment.close();
  }
});
