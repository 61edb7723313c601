import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';

import { digestKey } from '@kingcupsill/platform';

import {
  addAccount,
  addBackend,
  diffVersions,
  drainBackend,
  getConfig,
  patchConfig,
  removeAccount,
  removeBackend,
  rollBack,
  rotateAccountKey,
  setAccount,
  showHistory,
} from '../../src/index.js';
import type { FleetContext } from '../../src/index.js';
import { initialConfig, startTestFleet } from '../support/test-fleet.js';
import type { TestFleet } from '../support/test-fleet.js';

let fleet: TestFleet;
let ctx: FleetContext;
const why = { reason: 'test' };
const school = { ...why, account: 'school' };
const w1 = { ...why, backend: 'w1' };

beforeEach(async () => {
  fleet = await startTestFleet();
  ctx = fleet.createContext('root-key');
});
afterEach(() => fleet.service.close());

const partOf = async (part: string) => (await getConfig(ctx, { part })).data.config;
const addSchool = (share = 1) =>
  addAccount(ctx, { ...school, fields: { share, services: ['batches'] } });

test('an account is added with a key that is shown once, changed, rotated and removed', async () => {
  const { key } = (await addSchool()).data;
  assert.equal((await addSchool()).exitCode, 1);
  const set = await setAccount(ctx, { ...school, fields: { share: 2.5, services: undefined } });
  assert.equal(set.exitCode, 0, set.lines.join());
  assert.equal((await setAccount(ctx, { ...school, fields: {} })).exitCode, 2);
  const rotated = (await rotateAccountKey(ctx, { ...school, keepOld: true })).data;
  const keyHashes = [digestKey(String(key)), digestKey(String(rotated.key))];
  const expected = { share: 2.5, services: ['batches'], keyHashes };
  assert.deepEqual(await partOf('accounts'), { school: expected });
  const last = (await rotateAccountKey(ctx, { ...school, keepOld: false })).data;
  const only = { ...expected, keyHashes: [digestKey(String(last.key))] };
  assert.deepEqual(await partOf('accounts'), { school: only });
  assert.equal((await removeAccount(ctx, school)).exitCode, 0);
  assert.equal((await removeAccount(ctx, school)).exitCode, 1);
});

test('a backend server is added, drained, taken back and removed', async () => {
  const server = { pool: 'workshop', zone: 'b', region: 'k', slots: 1, models: undefined };
  assert.equal((await addBackend(ctx, { ...why, backend: 'w2', server })).exitCode, 0);
  assert.equal((await addBackend(ctx, { ...why, backend: 'w2', server })).exitCode, 1);
  await drainBackend(ctx, { ...w1, undo: false });
  assert.deepEqual(await partOf('backends'), {
    w1: { ...initialConfig.backends.w1, draining: true },
    w2: { pool: 'workshop', zone: 'b', region: 'k', slots: 1 },
  });
  await drainBackend(ctx, { ...w1, undo: true });
  assert.equal((await removeBackend(ctx, { ...why, backend: 'w2' })).exitCode, 0);
  assert.equal((await removeBackend(ctx, { ...why, backend: 'w2' })).exitCode, 1);
});

test('draining the last backend server of a pool is a warning', async () => {
  const drained = await drainBackend(ctx, { ...w1, undo: false });
  assert.equal(drained.exitCode, 0);
  assert.match(drained.lines.join('\n'), /warning: .*every backend server of pool "workshop"/);
});

test('an invalid result, a missing right and a wrong key change nothing', async () => {
  const zero = await addSchool(0);
  assert.equal(zero.exitCode, 4);
  assert.match(zero.lines.join('\n'), /accounts\.school\.share/);
  const code = async (key?: string) =>
    (await drainBackend(fleet.createContext(key), { ...w1, undo: false })).data.code;
  assert.deepEqual(
    [await code('sales-key'), await code('wrong'), await code()],
    ['forbidden', 'forbidden', 'forbidden'],
  );
  assert.equal((await getConfig(ctx, {})).data.version, 1);
});

test('a stale change is refused with both versions and what differs', async () => {
  await drainBackend(ctx, { ...w1, undo: false });
  const patch = { backends: { w1: { slots: 4 } } };
  const stale = await patchConfig(ctx, { ...why, patch, baseVersion: 1, dryRun: false });
  assert.equal(stale.exitCode, 3);
  const { baseVersion, currentVersion, differences } = stale.data;
  assert.deepEqual([baseVersion, currentVersion], [1, 2]);
  assert.deepEqual(differences, [{ path: 'backends.w1.draining', before: undefined, after: true }]);
});

test('a repeat of a patch id does not take effect again', async () => {
  const change = { ...w1, undo: false, patchId: 'mine' };
  assert.equal((await drainBackend(ctx, change)).exitCode, 0);
  const repeated = await drainBackend(ctx, change);
  assert.equal(repeated.exitCode, 0);
  assert.equal(repeated.data.code, 'already_applied');
  assert.equal(repeated.data.version, 2);
});

test('a dry run shows what would change, or what is wrong, and changes nothing', async () => {
  const dry = { ...why, baseVersion: 1, dryRun: true };
  const good = await patchConfig(ctx, { ...dry, patch: { backends: { w1: { slots: 4 } } } });
  assert.deepEqual(good.lines[0], 'backends.w1.slots: 2 -> 4');
  const bad = await patchConfig(ctx, { ...dry, patch: { services: { batches: null } } });
  assert.equal(bad.exitCode, 4);
  assert.equal((await getConfig(ctx, {})).data.version, 1);
});

test('history, difference and rollback, which is a new version', async () => {
  const server = { pool: 'workshop', zone: 'b', region: 'k', slots: 1 };
  await addBackend(ctx, { reason: 'growth', backend: 'w2', server });
  await drainBackend(ctx, { reason: 'heat', backend: 'w1', undo: false });
  const { lines } = await showHistory(ctx, { limit: 2 });
  assert.match(lines[0] ?? '', /^3 .*root {2}heat/);
  assert.match(lines[1] ?? '', /^2 .*root {2}growth/);
  const difference = await diffVersions(ctx, { from: 1, to: 2 });
  assert.match(difference.lines[0] ?? '', /^backends\.w2: \(none\) -> \{"pool":"workshop"/);
  const rolledBack = await rollBack(ctx, { ...why, version: 1 });
  assert.equal(rolledBack.data.version, 4);
  assert.deepEqual(await partOf('backends'), initialConfig.backends);
  assert.equal((await rollBack(ctx, { ...why, version: 1 })).data.changed, false);
  assert.equal((await rollBack(ctx, { ...why, version: 9 })).data.code, 'not_found');
});
