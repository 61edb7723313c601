import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createStreamJournal,
  findRecordedOrigins,
  VersionChangeKind,
} from '@kingcupsill/core/direct';
import { createStoreClient, StoreKind } from '@kingcupsill/prepared-platform';
import type { SendStoreCall } from '@kingcupsill/prepared-platform';
import fc from 'fast-check';
import { createStoreEra } from '../../src/store/store-era.js';
import { createStoreTransport } from '../../src/store/store-transport.js';
import { createStreamStore } from '../../src/store/stream-store.js';
import { createStreamSweep } from '../../src/store/stream-sweep.js';
import { waitUntil } from '../standins/deployment.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import { createStoreStandin } from '../standins/store-standin.js';
import type { StoreStandin } from '../standins/store-standin.js';

interface Harness {
  store: StoreStandin;
  /** Creates the records of a router. Answers of its calls are lost while `isLost` returns true. */
  open(router: string, isLost?: () => boolean): ReturnType<typeof createStreamStore>;
}

async function withStore(run: (harness: Harness) => Promise<void>): Promise<void> {
  const store = await createStoreStandin();
  const transport = createStoreTransport(() => ({ host: '127.0.0.1', port: store.port }));
  const opened: ReturnType<typeof createStreamStore>[] = [];
  try {
    await run({
      store,
      open(router, isLost = () => false) {
        const send: SendStoreCall = async (call) => {
          const result = await transport.send(call);
          return isLost() ? { ok: false, detail: 'answer lost' } : result;
        };
        const streamStore = createStreamStore({
          client: createStoreClient(send),
          era: createStoreEra(() => undefined),
          router,
          incarnation: 'i1',
          logger: createRecordingLogger([]),
          onCallEnded: () => undefined,
        });
        opened.push(streamStore);
        return streamStore;
      },
    });
  } finally {
    opened.forEach((streamStore) => streamStore.close());
    transport.close();
    store.close();
  }
}

const use = (...versions: string[]) => ({ kind: VersionChangeKind.Use, versions });

test('versions that several routers record at the same time are all recorded', async () => {
  await withStore(async ({ open }) => {
    const records = await Promise.all(
      ['v1', 'v2', 'v3', 'v2'].map((version, index) =>
        open(`r${index}`).changeVersions('engines', use(version)),
      ),
    );
    assert.ok(records.every((record) => record !== undefined));
    const read = await open('reader').readStreams();
    assert.deepEqual(read?.versions.get('engines')?.sort(), ['v1', 'v2', 'v3']);
  });
});

// Guards against a router that takes a version for recorded, or its streams for stored, because an answer was lost.
test('a lost answer counts as not recorded, and the next call finds what the store has', async () => {
  await withStore(async ({ open }) => {
    let lost = true;
    const router = open('r1', () => lost);
    assert.equal(await router.changeVersions('engines', use('v1')), undefined);
    assert.equal(await router.storeStreams({ engines: { v1: ['a'] } }), false);
    assert.equal(await router.readStreams(), undefined);
    lost = false;
    assert.deepEqual((await router.changeVersions('engines', use('v1')))?.versions, ['v1']);
    assert.equal(await router.storeStreams({ engines: { v1: ['a', 'b'] } }), false);
    assert.equal(await router.storeStreams({ engines: { v1: ['a', 'b'] } }), true);
    assert.deepEqual((await router.readStreams())?.streams, [{ engines: { v1: ['a', 'b'] } }]);
  });
});

test('objects that other writers have put among the records are passed over', async () => {
  await withStore(async ({ open, store }) => {
    const router = open('r1');
    await router.changeVersions('engines', use('v1'));
    [null, 5, { versions: 'v9', service: 'engines' }, { streams: [1] }].forEach((spec, index) =>
      store.put(StoreKind.Streams, `other-${index}`, spec),
    );
    const read = await router.readStreams();
    assert.deepEqual([...(read?.versions ?? [])], [['engines', ['v1']]]);
    assert.deepEqual(read?.streams, []);
  });
});

test('the streams of a run that has ended are removed by the second sweep', async () => {
  const names = new Set([
    'streams.r1.old',
    'streams.r1.new',
    'streams.gone.i1',
    'versions.engines',
  ]);
  const removed: string[] = [];
  let listings = 0;
  const sweep = createStreamSweep({
    ownName: 'streams.r0.i1',
    periodMs: 5,
    async listAll(kind, read) {
      listings += 1;
      const spec = { address: '127.0.0.1:1', incarnation: 'new' };
      const objects =
        kind === StoreKind.Routers
          ? [{ name: 'r1', revision: 1, spec }]
          : [...names].map((name) => ({ name, revision: 1, spec: {} }));
      return objects.flatMap((object) => read(object) ?? []);
    },
    async remove(name) {
      // Two listings for each of the two sweeps.
      assert.equal(listings, 4);
      removed.push(name);
    },
  });
  await waitUntil(() => removed.length === 2);
  await sweep.close();
  assert.deepEqual(removed, ['streams.r1.old', 'streams.gone.i1']);
});

// Guards against a router that ends, or streams that are forgotten, because a service or version is named as a property of all objects.
test('streams of services and versions with any names are recorded and found', async () => {
  const name = fc.oneof(
    fc.constantFrom('constructor', '__proto__', 'toString', 'hasOwnProperty', '', 'x'.repeat(4096)),
    fc.string({ unit: 'binary' }),
  );
  const origins = fc.array(fc.record({ service: name, version: name }, { noNullPrototype: true }), {
    minLength: 1,
  });
  await withStore(async ({ open }) => {
    const streamStore = open('r1');
    await fc.assert(
      fc.asyncProperty(origins, async (begun) => {
        const journal = createStreamJournal();
        begun.forEach((origin, index) => journal.begin(`s${index}`, origin));
        assert.ok(await streamStore.storeStreams(journal.list(() => true)));
        const read = await streamStore.readStreams();
        const ids = new Set(begun.map((_origin, index) => `s${index}`));
        const found = findRecordedOrigins(read!, ids);
        begun.forEach((origin, index) => assert.deepEqual(found.get(`s${index}`), [origin]));
      }),
      { seed: 61, numRuns: 40, examples: [[[{ service: 'constructor', version: '__proto__' }]]] },
    );
  });
});
