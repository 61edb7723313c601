import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';

import { createConfigStore, createObjectClient, digestKey } from '../../src/index.js';
import type { CommitRequest, ConfigStore } from '../../src/index.js';
import { startFakeObjectService } from '../support/fake-object-service.js';
import type { FakeObjectService } from '../support/fake-object-service.js';

let service: FakeObjectService;
let store: ConfigStore;

/** Time after which a request counts as lost; longer than any that is answered takes beside other load. */
const TIMEOUT_MS = 10_000;
const SHORT_TIMEOUT_MS = 500;

const createStore = (timeoutMs = TIMEOUT_MS): ConfigStore =>
  createConfigStore({
    objects: createObjectClient({ url: service.url, timeoutMs }),
    now: () => new Date('2026-01-02T03:04:05Z'),
    retryDelayMs: 5,
    writeAttempts: 3,
  });

const account = (share: number) => ({ share, services: [], keyHashes: [] });

const request = (id: string, baseVersion: number, patch: unknown): CommitRequest => ({
  id,
  baseVersion,
  patch,
  reason: 'test',
});

const addAccount = (id: string, baseVersion: number, share = 1): CommitRequest =>
  request(id, baseVersion, { accounts: { [id]: account(share) } });

const commitMany = async (count: number): Promise<void> => {
  for (let version = 0; version < count; version += 1) {
    const outcome = await store.commit(addAccount(`a${version}`, version));
    assert.ok(outcome.ok);
  }
};

beforeEach(async () => {
  service = await startFakeObjectService();
  store = createStore();
});
afterEach(() => service.close());

test('another process loads a committed patch, and the history records its author, reason and time', async () => {
  const committed = await store.commit(addAccount('first', 0));
  assert.ok(committed.ok);
  const loaded = await createStore().load();
  assert.deepEqual(loaded, { ok: true, config: committed.config });
  const history = await store.history({ from: 1, to: 5 });
  assert.deepEqual(history.ok && history.entries, [
    {
      version: 1,
      id: 'first',
      patch: { accounts: { first: account(1) } },
      undo: { accounts: { first: null } },
      author: 'anonymous',
      reason: 'test',
      time: '2026-01-02T03:04:05.000Z',
    },
  ]);
});

test('only one of several concurrent commits succeeds, and the others return the current version', async () => {
  const stores = Array.from({ length: 6 }, () => createStore());
  const outcomes = await Promise.all(
    stores.map((operatorStore, index) => operatorStore.commit(addAccount(`op-${index}`, 0))),
  );
  assert.equal(outcomes.filter((outcome) => outcome.ok).length, 1);
  outcomes.forEach((outcome) => {
    if (outcome.ok) return;
    assert.equal(outcome.code, 'stale');
    assert.equal(outcome.code === 'stale' && outcome.current.version, 1);
  });
  const loaded = await createStore().load();
  assert.equal(loaded.ok && loaded.config.version, 1);
});

test('applies a patch once if the response to its write is lost', async () => {
  store = createStore(SHORT_TIMEOUT_MS);
  service.faults.lostResponses = 1;
  const outcome = await store.commit(addAccount('first', 0));
  assert.equal(outcome.ok && outcome.config.version, 1);
  const loaded = await createStore().load();
  assert.equal(loaded.ok && loaded.config.version, 1);
});

test('retries a lost request', async () => {
  store = createStore(SHORT_TIMEOUT_MS);
  service.faults.lostRequests = 1;
  const outcome = await store.commit(addAccount('first', 0));
  assert.equal(outcome.ok && outcome.config.version, 1);
});

test('reports an unknown outcome if every response is lost, and accepts a repeat of the same patch', async () => {
  store = createStore(SHORT_TIMEOUT_MS);
  service.faults.lostRequests = 3;
  const outcome = await store.commit(addAccount('first', 0));
  assert.equal(outcome.ok ? 'ok' : outcome.code, 'unknown');
  const repeatedCommit = await store.commit(addAccount('first', 0));
  assert.equal(repeatedCommit.ok && repeatedCommit.config.version, 1);
  const repeated = await createStore().commit(addAccount('first', 0));
  assert.deepEqual(repeated, { ok: false, code: 'already-applied', version: 1 });
});

test('a commit during an outage fails without effect', async () => {
  await commitMany(1);
  service.faults.status = 503;
  const outcome = await store.commit(addAccount('second', 1));
  assert.equal(outcome.ok ? 'ok' : outcome.code, 'unavailable');
  service.faults.status = undefined;
  const loaded = await createStore().load();
  assert.equal(loaded.ok && loaded.config.version, 1);
});

test('requires the key of an authorized operator once operators exist', async () => {
  const operators = {
    root: { keyHashes: [digestKey('root-key')], mayChange: ['*'] },
    sales: { keyHashes: [digestKey('sales-key')], mayChange: ['accounts'] },
  };
  assert.ok((await store.commit(request('p1', 0, { operators }))).ok);
  const commitCode = async (commitRequest: CommitRequest) => {
    const outcome = await store.commit(commitRequest);
    return outcome.ok ? 'ok' : outcome.code;
  };
  const servicesPatch = { services: { lookup: { kind: 'plain', pool: 'app' } } };
  assert.equal(await commitCode(addAccount('a', 1)), 'forbidden');
  assert.equal(await commitCode({ ...addAccount('a', 1), operatorKey: 'wrong' }), 'forbidden');
  assert.equal(
    await commitCode({ ...request('p2', 1, servicesPatch), operatorKey: 'sales-key' }),
    'forbidden',
  );
  assert.equal(await commitCode({ ...addAccount('a', 1), operatorKey: 'sales-key' }), 'ok');
  const history = await store.history({ from: 2, to: 2 });
  assert.equal(history.ok && history.entries[0]?.author, 'sales');
});

test('a new process loads the snapshot and the log entries after it', async () => {
  await commitMany(20);
  const callsBefore = service.calls.length;
  const loaded = await createStore().load();
  assert.equal(loaded.ok && loaded.config.version, 20);
  const reads = service.calls.slice(callsBefore);
  assert.equal(reads.includes('GET /v1/objects/config/history/16'), false);
  assert.equal(reads.includes('GET /v1/objects/config/history/17'), true);
});

test('readSince takes one call at the newest version, and returns the whole configuration if there are too many patches', async () => {
  await commitMany(70);
  const callsBefore = service.calls.length;
  const none = await store.readSince(70);
  assert.deepEqual(none, { ok: true, kind: 'patches', patches: [] });
  assert.equal(service.calls.length - callsBefore, 1);
  const some = await store.readSince(68);
  assert.deepEqual(
    some.ok && some.kind === 'patches' && some.patches.map(({ version }) => version),
    [69, 70],
  );
  const fullConfig = await store.readSince(2);
  assert.equal(fullConfig.ok && fullConfig.kind === 'config' && fullConfig.config.version, 70);
});

test('reconstructs an earlier version', async () => {
  await store.commit(addAccount('first', 0));
  const second = await store.commit(addAccount('second', 1));
  await store.commit(request('p3', 2, { accounts: { first: { share: 9 }, second: null } }));
  const earlier = await store.loadVersion(2);
  assert.ok(earlier.ok && second.ok);
  assert.equal(earlier.config.version, 2);
  assert.deepEqual(earlier.config.accounts, second.config.accounts);
  assert.deepEqual(await store.loadVersion(4), { ok: false, code: 'not-found' });
});

test('watch returns versions accepted before and during the call', async () => {
  const watcher = createStore();
  await commitMany(2);
  const first = await watcher.watch({ version: 0, timeoutMs: 5000 });
  assert.equal(first.ok && first.kind === 'patches' && first.patches.length, 2);
  const waiting = watcher.watch({ version: 2, timeoutMs: 5000 });
  await store.commit(addAccount('third', 2));
  const second = await waiting;
  // A watch that reports version 3 reads only that entry, and doesn't check for version 4.
  assert.equal(service.calls.includes('GET /v1/objects/config/history/4'), false);
  assert.equal(second.ok && second.kind === 'patches' && second.patches[0]?.version, 3);
  const idle = await watcher.watch({ version: 3, timeoutMs: 10 });
  assert.deepEqual(idle, { ok: true, kind: 'patches', patches: [] });
});

test('watch returns all changes after a failed call', async () => {
  const watcher = createStore();
  await watcher.watch({ version: 0, timeoutMs: 1 });
  service.faults.status = 503;
  const failed = await watcher.watch({ version: 0, timeoutMs: 10 });
  assert.equal(failed.ok, false);
  service.faults.status = undefined;
  await commitMany(1);
  const changes = await watcher.watch({ version: 0, timeoutMs: 5000 });
  assert.equal(changes.ok && changes.kind === 'patches' && changes.patches.length, 1);
});

test('watch reads the missed versions if the object service no longer has the events', async () => {
  const objects = createObjectClient({ url: service.url, timeoutMs: 500 });
  let isExpired = false;
  const watcher = createConfigStore({
    objects: {
      ...objects,
      watch: (watchRequest) =>
        isExpired ? Promise.resolve({ ok: false, code: 'expired' }) : objects.watch(watchRequest),
    },
  });
  await watcher.watch({ version: 0, timeoutMs: 1 });
  await commitMany(1);
  isExpired = true;
  const missed = await watcher.watch({ version: 0, timeoutMs: 5000 });
  assert.equal(missed.ok && missed.kind === 'patches' && missed.patches.length, 1);
});

test('reports a corrupt log entry instead of skipping it', async () => {
  await commitMany(1);
  service.objects.set('config/history/2', { version: 99, body: Buffer.from('{}') });
  const loaded = await createStore().load();
  assert.equal(loaded.ok ? 'ok' : loaded.code, 'corrupt');
});

test('rejects a patch above the size limit, and returns a warning for a snapshot above it', async () => {
  const objects = createObjectClient({ url: service.url, timeoutMs: 500 });
  const createOversizedStore = (key: string) =>
    createConfigStore({
      objects: {
        ...objects,
        put: (name, body, condition) =>
          objects.put(name, name === key ? new Uint8Array(2 ** 20 + 1) : body, condition),
      },
    });
  const refused = await createOversizedStore('config/history/1').commit(addAccount('first', 0));
  assert.equal(refused.ok ? 'ok' : refused.code, 'invalid');
  await commitMany(15);
  const last = await createOversizedStore('config/current').commit(addAccount('last', 15));
  assert.match(JSON.stringify(last.ok && last.warnings), /the snapshot was not written/);
});
