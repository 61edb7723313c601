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

const sharePatch = { accounts: { schools: { share: 3 } } };

test('a patch produces the next version and does not modify its base', () => {
  const base = createFleetConfig();
  const outcome = applyPatch(base, request(sharePatch));
  assert.ok(outcome.ok);
  assert.equal(outcome.config.version, 8);
  assert.equal(outcome.config.accounts.schools!.share, 3);
  assert.deepEqual(outcome.config.appliedPatches, [{ id: 'patch-1', version: 8 }]);
  assert.deepEqual(base, createFleetConfig());
  assert.deepEqual(diffConfig(base, outcome.config), [
    { path: 'accounts.schools.share', before: 1, after: 3 },
  ]);
});

test('a patch with another base version is stale', () => {
  assert.equal(codeOf(createFleetConfig(), request(sharePatch, { baseVersion: 6 })), 'stale');
  assert.equal(codeOf(createFleetConfig(), request(sharePatch, { baseVersion: 8 })), 'stale');
});

test('a patch id is applied only once, even if its base version is outdated', () => {
  const first = applyPatch(createFleetConfig(), request(sharePatch));
  assert.ok(first.ok);
  const second = applyPatch(first.config, request(sharePatch));
  assert.deepEqual(second, { ok: false, code: 'already-applied', version: 8 });
});

test('patches of the version, the applied patches or unknown parts are invalid', () => {
  ['version', 'appliedPatches', 'pools'].forEach((part) => {
    const outcome = applyPatch(createFleetConfig(), request({ [part]: {} }));
    assert.equal(outcome.ok ? 'ok' : outcome.code, 'invalid');
  });
  assert.equal(codeOf(createFleetConfig(), request({ accounts: null })), 'invalid');
  assert.equal(codeOf(createFleetConfig(), request('accounts')), 'invalid');
});

test('a patch with a name that the merge library handles specially is invalid', () => {
  const patch: unknown = JSON.parse('{"accounts":{"__proto__":{"share":1},"schools":{"share":3}}}');
  assert.equal(codeOf(createFleetConfig(), request(patch)), 'invalid');
});

test('an operator may change only permitted parts', () => {
  const bySales = { author: 'sales' };
  assert.equal(codeOf(createFleetConfig(), request(sharePatch, bySales)), 'ok');
  const drain = { backends: { 'engine-1': { draining: true } } };
  assert.equal(codeOf(createFleetConfig(), request(drain, bySales)), 'forbidden');
  const both = { ...drain, ...sharePatch };
  assert.equal(codeOf(createFleetConfig(), request(both, bySales)), 'forbidden');
  assert.equal(codeOf(createFleetConfig(), request(sharePatch, { author: 'nobody' })), 'forbidden');
});

test('the empty configuration accepts a patch from any author', () => {
  const operators = { root: { keyHashes: [digest('c')], mayChange: ['*'] } };
  const offered = request({ operators }, { baseVersion: 0, author: 'anonymous' });
  assert.equal(codeOf(EMPTY_CONFIG, offered), 'ok');
});

test('the result of a patch is validated as a whole', () => {
  const outcome = applyPatch(createFleetConfig(), request({ services: { batches: null } }));
  assert.equal(outcome.ok ? 'ok' : outcome.code, 'invalid');
});

test('the ids of the most recent patches are kept', () => {
  let config = createFleetConfig();
  for (let index = 0; index < MAX_APPLIED_PATCHES + 5; index += 1) {
    const offered = request(sharePatch, { id: `patch-${index}`, baseVersion: config.version });
    const outcome = applyPatch(config, offered);
    assert.ok(outcome.ok);
    config = outcome.config;
  }
  assert.equal(config.appliedPatches.length, MAX_APPLIED_PATCHES);
  assert.equal(config.appliedPatches[0]?.id, 'patch-5');
});

test('an accepted patch applies only to the preceding version, and its entries are validated', () => {
  const base = createFleetConfig();
  assert.equal(applyAcceptedPatch(base, { version: 9, patch: sharePatch }).ok, false);
  assert.equal(applyAcceptedPatch(base, { version: 7, patch: sharePatch }).ok, false);
  const bad = { accounts: { schools: { share: -1 } } };
  assert.equal(applyAcceptedPatch(base, { version: 8, patch: bad }).ok, false);
  const good = applyAcceptedPatch(base, { version: 8, id: 'patch-1', patch: sharePatch });
  const full = applyPatch(base, request(sharePatch));
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

test('generated merge patches convert one configuration to another and back', () => {
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
