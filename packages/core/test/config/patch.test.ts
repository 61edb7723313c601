import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import {
  MAX_APPLIED_PATCHES,
  EMPTY_CONFIG,
  applyAcceptedPatch,
  applyPatch,
  createMergePatch,
  diffConfig,
} from '../../src/index.js';
import type { FleetConfig, PatchRequest } from '../../src/index.js';
import { createFleetConfig, digest } from './fixtures.js';

const request = (patch: unknown, overrides: Partial<PatchRequest> = {}): PatchRequest => ({
  id: 'patch-1',
  baseVersion: 7,
  patch,
  author: 'root',
  reason: 'test',
  ...overrides,
});

const codeOf = (config: FleetConfig, offered: PatchRequest): string => {
  const outcome = applyPatch(config, offered);
  return outcome.ok ? 'ok' : outcome.code;
};

const shareOf3 = { accounts: { schools: { share: 3 } } };

test('a patch leads to the next version and leaves the base as it was', () => {
  const base = createFleetConfig();
  const outcome = applyPatch(base, request(shareOf3));
  assert.ok(outcome.ok);
  assert.equal(outcome.config.version, 8);
  assert.equal(outcome.config.accounts.schools!.share, 3);
  assert.deepEqual(outcome.config.appliedPatches, [{ id: 'patch-1', version: 8 }]);
  assert.deepEqual(base, createFleetConfig());
  assert.deepEqual(diffConfig(base, outcome.config), [
    { path: 'accounts.schools.share', before: 1, after: 3 },
  ]);
});

test('a patch against another version is stale, whatever it contains', () => {
  assert.equal(codeOf(createFleetConfig(), request(shareOf3, { baseVersion: 6 })), 'stale');
  assert.equal(codeOf(createFleetConfig(), request(shareOf3, { baseVersion: 8 })), 'stale');
});

test('a patch id takes effect once, also when the version it names is old', () => {
  const first = applyPatch(createFleetConfig(), request(shareOf3));
  assert.ok(first.ok);
  const second = applyPatch(first.config, request(shareOf3));
  assert.deepEqual(second, { ok: false, code: 'already-applied', version: 8 });
});

test('version, patch ids and unknown parts cannot be patched', () => {
  ['version', 'appliedPatches', 'pools'].forEach((part) => {
    const outcome = applyPatch(createFleetConfig(), request({ [part]: {} }));
    assert.equal(outcome.ok ? 'ok' : outcome.code, 'invalid');
  });
  assert.equal(codeOf(createFleetConfig(), request({ accounts: null })), 'invalid');
  assert.equal(codeOf(createFleetConfig(), request('accounts')), 'invalid');
});

test('names that the merge library treats specially are refused, not skipped', () => {
  const patch: unknown = JSON.parse('{"accounts":{"__proto__":{"share":1},"schools":{"share":3}}}');
  assert.equal(codeOf(createFleetConfig(), request(patch)), 'invalid');
});

test('an operator changes only the parts it may', () => {
  const bySales = { author: 'sales' };
  assert.equal(codeOf(createFleetConfig(), request(shareOf3, bySales)), 'ok');
  const drain = { backends: { 'engine-1': { draining: true } } };
  assert.equal(codeOf(createFleetConfig(), request(drain, bySales)), 'forbidden');
  const both = { ...drain, ...shareOf3 };
  assert.equal(codeOf(createFleetConfig(), request(both, bySales)), 'forbidden');
  assert.equal(codeOf(createFleetConfig(), request(shareOf3, { author: 'nobody' })), 'forbidden');
});

test('the empty configuration takes the first patch from anyone', () => {
  const operators = { root: { keyHashes: [digest('c')], mayChange: ['*'] } };
  const offered = request({ operators }, { baseVersion: 0, author: 'anonymous' });
  assert.equal(codeOf(EMPTY_CONFIG, offered), 'ok');
});

test('the result of a patch is validated as a whole', () => {
  const outcome = applyPatch(createFleetConfig(), request({ services: { batches: null } }));
  assert.equal(outcome.ok ? 'ok' : outcome.code, 'invalid');
});

test('the ids of the latest patches are kept', () => {
  let config = createFleetConfig();
  for (let index = 0; index < MAX_APPLIED_PATCHES + 5; index += 1) {
    const offered = request(shareOf3, { id: `patch-${index}`, baseVersion: config.version });
    const outcome = applyPatch(config, offered);
    assert.ok(outcome.ok);
    config = outcome.config;
  }
  assert.equal(config.appliedPatches.length, MAX_APPLIED_PATCHES);
  assert.equal(config.appliedPatches[0]?.id, 'patch-5');
});

test('an accepted patch applies to the version before it only, and its entries are checked', () => {
  const base = createFleetConfig();
  assert.equal(applyAcceptedPatch(base, { version: 9, patch: shareOf3 }).ok, false);
  assert.equal(applyAcceptedPatch(base, { version: 7, patch: shareOf3 }).ok, false);
  const bad = { accounts: { schools: { share: -1 } } };
  assert.equal(applyAcceptedPatch(base, { version: 8, patch: bad }).ok, false);
  const good = applyAcceptedPatch(base, { version: 8, id: 'patch-1', patch: shareOf3 });
  const full = applyPatch(base, request(shareOf3));
  assert.deepEqual(good.ok && good.config, full.ok && full.config);
});

const accountArbitrary = fc.record(
  {
    share: fc.constantFrom(1, 2, 5),
    services: fc.subarray(['review-model', 'batches']),
    keyHashes: fc.constant([] as string[]),
    maxQueued: fc.constantFrom(10, 20),
  },
  { requiredKeys: ['share', 'services', 'keyHashes'], noNullPrototype: true },
);
const accountsArbitrary = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), accountArbitrary, {
  noNullPrototype: true,
});

test('a derived merge patch leads to the other configuration and its undo leads back', () => {
  fc.assert(
    fc.property(accountsArbitrary, accountsArbitrary, (accounts, others) => {
      const before = { ...createFleetConfig(), accounts: { ...accounts } };
      const after = { ...before, version: 8, accounts: { ...others } };
      const forward = applyAcceptedPatch(before, {
        version: 8,
        patch: createMergePatch(before, after),
      });
      assert.deepEqual(forward.ok && forward.config, after);
      const back = applyAcceptedPatch(after, {
        version: 9,
        patch: createMergePatch(after, before),
      });
      assert.deepEqual(back.ok && back.config, { ...before, version: 9 });
    }),
    { seed: 61, numRuns: 300 },
  );
});
