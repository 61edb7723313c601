import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';

import { createConfigStore, createObjectClient, digestKey } from '../../src/index.js';
import type { CommitRequest, ConfigStore } from '../../src/index.js';
import { startFakeObjectService } from '../support/fake-object-service.js';
import type { FakeObjectService } from '../support/fake-object-service.js';

let service: FakeObjectService;
let store: ConfigStore;

const openStore = (): ConfigStore =>
  createConfigStore({
    objects: createObjectClient({ url: service.url, timeoutMs: 500 }),
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
  store = openStore();
});
afterEach(() => service.close());

test('a commit is loaded by another process, with its circumstances in the history', async () => {
  const committed = await store.commit(addAccount('first', 0));
  assert.ok(committed.ok);
  const loaded = await openStore().load();
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

test('of racing operators one wins and the others are shown the current version', async () => {
  const stores = Array.from({ length: 6 }, openStore);
  const outcomes = await Promise.all(
    stores.map((own, index) => own.commit(addAccount(`op-${index}`, 0))),
  );
  assert.equal(outcomes.filter((outcome) => outcome.ok).length, 1);
  outcomes.forEach((outcome) => {
    if (outcome.ok) return;
    assert.equal(outcome.code, 'stale');
    assert.equal(outcome.code === 'stale' && outcome.current.version, 1);
  });
  const loaded = await openStore().load();
  assert.equal(loaded.ok && loaded.config.version, 1);
});

test('a lost answer is resolved: the patch took effect once', async () => {
  service.faults.lostResponses = 1;
  const outcome = await store.commit(addAccount('first', 0));
  assert.equal(outcome.ok && outcome.config.version, 1);
  const loaded = await openStore().load();
  assert.equal(loaded.ok && loaded.config.version, 1);
});

test('a lost request is sent again', async () => {
  service.faults.lostRequests = 1;
  const outcome = await store.commit(addAccount('first', 0));
  assert.equal(outcome.ok && outcome.config.version, 1);
});

test('a commit whose answers stay lost says so, and offering it again is safe', async () => {
  service.faults.lostRequests = 3;
  const outcome = await store.commit(addAccount('first', 0));
  assert.equal(outcome.ok ? 'ok' : outcome.code, 'unknown');
  const again = await store.commit(addAccount('first', 0));
  assert.equal(again.ok && again.config.version, 1);
  const repeated = await openStore().commit(addAccount('first', 0));
  assert.deepEqual(repeated, { ok: false, code: 'already-applied', version: 1 });
});

test('during an outage a commit is refused without effect', async () => {
  await commitMany(1);
  service.faults.status = 503;
  const outcome = await store.commit(addAccount('second', 1));
  assert.equal(outcome.ok ? 'ok' : outcome.code, 'unavailable');
  service.faults.status = undefined;
  const loaded = await openStore().load();
  assert.equal(loaded.ok && loaded.config.version, 1);
});

test('once there are operators, a commit needs the key of one who may', async () => {
  const operators = {
    root: { keyHashes: [digestKey('root-key')], mayChange: ['*'] },
    sales: { keyHashes: [digestKey('sales-key')], mayChange: ['accounts'] },
  };
  assert.ok((await store.commit(request('p1', 0, { operators }))).ok);
  const code = async (offered: CommitRequest) => {
    const outcome = await store.commit(offered);
    return outcome.ok ? 'ok' : outcome.code;
  };
  const service1 = { services: { lookup: { kind: 'plain', pool: 'app' } } };
  assert.equal(await code(addAccount('a', 1)), 'forbidden');
  assert.equal(await code({ ...addAccount('a', 1), operatorKey: 'wrong' }), 'forbidden');
  assert.equal(
    await code({ ...request('p2', 1, service1), operatorKey: 'sales-key' }),
    'forbidden',
  );
  assert.equal(await code({ ...addAccount('a', 1), operatorKey: 'sales-key' }), 'ok');
  const history = await store.history({ from: 2, to: 2 });
  assert.equal(history.ok && history.entries[0]?.author, 'sales');
});

test('a process that starts late takes the snapshot and the log after it', async () => {
  await commitMany(20);
  const callsBefore = service.calls.length;
  const loaded = await openStore().load();
  assert.equal(loaded.ok && loaded.config.version, 20);
  const reads = service.calls.slice(callsBefore);
  assert.equal(reads.includes('GET /v1/objects/config/history/16'), false);
  assert.equal(reads.includes('GET /v1/objects/config/history/17'), true);
});

test('reading since the newest version is one call, and a far reader gets the whole', async () => {
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
  const whole = await store.readSince(2);
  assert.equal(whole.ok && whole.kind === 'config' && whole.config.version, 70);
});

test('an earlier version is reconstructed', async () => {
  await store.commit(addAccount('first', 0));
  const second = await store.commit(addAccount('second', 1));
  await store.commit(request('p3', 2, { accounts: { first: { share: 9 }, second: null } }));
  const earlier = await store.loadVersion(2);
  assert.ok(earlier.ok && second.ok);
  assert.equal(earlier.config.version, 2);
  assert.deepEqual(earlier.config.accounts, second.config.accounts);
  assert.deepEqual(await store.loadVersion(4), { ok: false, code: 'not-found' });
});

test('a watch returns what was accepted before it and during it', async () => {
  const watcher = openStore();
  await commitMany(2);
  const first = await watcher.watch({ version: 0, timeoutMs: 5000 });
  assert.equal(first.ok && first.kind === 'patches' && first.patches.length, 2);
  const waiting = watcher.watch({ version: 2, timeoutMs: 5000 });
  await store.commit(addAccount('third', 2));
  const second = await waiting;
  // A watcher that was woken reads the new entry and does not look for another.
  assert.equal(service.calls.includes('GET /v1/objects/config/history/4'), false);
  assert.equal(second.ok && second.kind === 'patches' && second.patches[0]?.version, 3);
  const idle = await watcher.watch({ version: 3, timeoutMs: 10 });
  assert.deepEqual(idle, { ok: true, kind: 'patches', patches: [] });
});

test('a watch that failed misses nothing', async () => {
  const watcher = openStore();
  await watcher.watch({ version: 0, timeoutMs: 1 });
  service.faults.status = 503;
  const failed = await watcher.watch({ version: 0, timeoutMs: 10 });
  assert.equal(failed.ok, false);
  service.faults.status = undefined;
  await commitMany(1);
  const changes = await watcher.watch({ version: 0, timeoutMs: 5000 });
  assert.equal(changes.ok && changes.kind === 'patches' && changes.patches.length, 1);
});

test('a watch from a version that the service has forgotten reads what it missed', async () => {
  const objects = createObjectClient({ url: service.url, timeoutMs: 500 });
  let forgets = false;
  const watcher = createConfigStore({
    objects: {
      ...objects,
      watch: (watched) =>
        forgets ? Promise.resolve({ ok: false, code: 'expired' }) : objects.watch(watched),
    },
  });
  await watcher.watch({ version: 0, timeoutMs: 1 });
  await commitMany(1);
  forgets = true;
  const missed = await watcher.watch({ version: 0, timeoutMs: 5000 });
  assert.equal(missed.ok && missed.kind === 'patches' && missed.patches.length, 1);
});

test('a log entry that is not one is reported, not skipped', async () => {
  await commitMany(1);
  service.objects.set('config/history/2', { version: 99, body: Buffer.from('{}') });
  const loaded = await openStore().load();
  assert.equal(loaded.ok ? 'ok' : loaded.code, 'corrupt');
});

test('a patch or a snapshot above the size limit is said to be', async () => {
  const objects = createObjectClient({ url: service.url, timeoutMs: 500 });
  const limited = (key: string) =>
    createConfigStore({
      objects: {
        ...objects,
        put: (name, body, condition) =>
          objects.put(name, name === key ? new Uint8Array(2 ** 20 + 1) : body, condition),
      },
    });
  const refused = await limited('config/history/1').commit(addAccount('first', 0));
  assert.equal(refused.ok ? 'ok' : refused.code, 'invalid');
  await commitMany(15);
  const last = await limited('config/current').commit(addAccount('last', 15));
  assert.match(JSON.stringify(last.ok && last.warnings), /the snapshot was not written/);
});
