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
const baseOptions = { reason: 'test' };
const schoolOptions = { ...baseOptions, account: 'school' };
const w1Options = { ...baseOptions, backend: 'w1' };

beforeEach(async () => {
  fleet = await startTestFleet();
  ctx = fleet.createContext('root-key');
});
afterEach(() => fleet.service.close());

const getPart = async (part: string) => (await getConfig(ctx, { part })).data.config;
const addSchool = (share = 1) =>
  addAccount(ctx, { ...schoolOptions, fields: { share, services: ['batches'] } });

test('adds, changes and removes an account, and rotates its key', async () => {
  const { key } = (await addSchool()).data;
  assert.equal((await addSchool()).exitCode, 1);
  const updated = await setAccount(ctx, {
    ...schoolOptions,
    fields: { share: 2.5, services: undefined },
  });
  assert.equal(updated.exitCode, 0, updated.lines.join());
  assert.equal((await setAccount(ctx, { ...schoolOptions, fields: {} })).exitCode, 2);
  const rotated = (await rotateAccountKey(ctx, { ...schoolOptions, keepOld: true })).data;
  const keyHashes = [digestKey(String(key)), digestKey(String(rotated.key))];
  const expected = { share: 2.5, services: ['batches'], keyHashes };
  assert.deepEqual(await getPart('accounts'), { school: expected });
  const secondRotation = (await rotateAccountKey(ctx, { ...schoolOptions, keepOld: false })).data;
  const expectedAfterRotation = { ...expected, keyHashes: [digestKey(String(secondRotation.key))] };
  assert.deepEqual(await getPart('accounts'), { school: expectedAfterRotation });
  assert.equal((await removeAccount(ctx, schoolOptions)).exitCode, 0);
  assert.equal((await removeAccount(ctx, schoolOptions)).exitCode, 1);
});

test('adds, drains, reactivates and removes a backend server', async () => {
  const server = { pool: 'workshop', zone: 'b', region: 'k', slots: 1, models: undefined };
  assert.equal((await addBackend(ctx, { ...baseOptions, backend: 'w2', server })).exitCode, 0);
  assert.equal((await addBackend(ctx, { ...baseOptions, backend: 'w2', server })).exitCode, 1);
  await drainBackend(ctx, { ...w1Options, undo: false });
  assert.deepEqual(await getPart('backends'), {
    w1: { ...initialConfig.backends.w1, draining: true },
    w2: { pool: 'workshop', zone: 'b', region: 'k', slots: 1 },
  });
  await drainBackend(ctx, { ...w1Options, undo: true });
  assert.equal((await removeBackend(ctx, { ...baseOptions, backend: 'w2' })).exitCode, 0);
  assert.equal((await removeBackend(ctx, { ...baseOptions, backend: 'w2' })).exitCode, 1);
});

test('draining the last backend server of a pool returns a warning', async () => {
  const drained = await drainBackend(ctx, { ...w1Options, undo: false });
  assert.equal(drained.exitCode, 0);
  assert.match(drained.lines.join('\n'), /warning: .*every backend server of pool "workshop"/);
});

test('an invalid result, a missing permission or a wrong key changes nothing', async () => {
  const zero = await addSchool(0);
  assert.equal(zero.exitCode, 4);
  assert.match(zero.lines.join('\n'), /accounts\.school\.share/);
  const code = async (key?: string) =>
    (await drainBackend(fleet.createContext(key), { ...w1Options, undo: false })).data.code;
  assert.deepEqual(
    [await code('sales-key'), await code('wrong'), await code()],
    ['forbidden', 'forbidden', 'forbidden'],
  );
  assert.equal((await getConfig(ctx, {})).data.version, 1);
});

test('refuses a stale change with both versions and their differences', async () => {
  await drainBackend(ctx, { ...w1Options, undo: false });
  const patch = { backends: { w1: { slots: 4 } } };
  const stale = await patchConfig(ctx, { ...baseOptions, patch, baseVersion: 1, dryRun: false });
  assert.equal(stale.exitCode, 3);
  const { baseVersion, currentVersion, differences } = stale.data;
  assert.deepEqual([baseVersion, currentVersion], [1, 2]);
  assert.deepEqual(differences, [{ path: 'backends.w1.draining', before: undefined, after: true }]);
});

test('does not apply a patch id again', async () => {
  const change = { ...w1Options, undo: false, patchId: 'mine' };
  assert.equal((await drainBackend(ctx, change)).exitCode, 0);
  const repeated = await drainBackend(ctx, change);
  assert.equal(repeated.exitCode, 0);
  assert.equal(repeated.data.code, 'already_applied');
  assert.equal(repeated.data.version, 2);
});

test('a dry run shows the changes or problems and changes nothing', async () => {
  const dryRunOptions = { ...baseOptions, baseVersion: 1, dryRun: true };
  const valid = await patchConfig(ctx, {
    ...dryRunOptions,
    patch: { backends: { w1: { slots: 4 } } },
  });
  assert.deepEqual(valid.lines[0], 'backends.w1.slots: 2 -> 4');
  const invalid = await patchConfig(ctx, {
    ...dryRunOptions,
    patch: { services: { batches: null } },
  });
  assert.equal(invalid.exitCode, 4);
  assert.equal((await getConfig(ctx, {})).data.version, 1);
});

test('shows history and differences, and rolls back by creating a new version', async () => {
  const server = { pool: 'workshop', zone: 'b', region: 'k', slots: 1 };
  await addBackend(ctx, { reason: 'growth', backend: 'w2', server });
  await drainBackend(ctx, { reason: 'heat', backend: 'w1', undo: false });
  const { lines } = await showHistory(ctx, { limit: 2 });
  assert.match(lines[0] ?? '', /^3 .*root {2}heat/);
  assert.match(lines[1] ?? '', /^2 .*root {2}growth/);
  const difference = await diffVersions(ctx, { from: 1, to: 2 });
  assert.match(difference.lines[0] ?? '', /^backends\.w2: \(none\) -> \{"pool":"workshop"/);
  const rolledBack = await rollBack(ctx, { ...baseOptions, version: 1 });
  assert.equal(rolledBack.data.version, 4);
  assert.deepEqual(await getPart('backends'), initialConfig.backends);
  assert.equal((await rollBack(ctx, { ...baseOptions, version: 1 })).data.changed, false);
  assert.equal((await rollBack(ctx, { ...baseOptions, version: 9 })).data.code, 'not_found');
});
