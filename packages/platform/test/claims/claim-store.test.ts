import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';

import type { Claim } from '@kingcupsill/core';

import { createClaimStore, createObjectClient } from '../../src/index.js';
import type { ClaimStore } from '../../src/index.js';
import { startFakeObjectService } from '../support/fake-object-service.js';
import type { FakeObjectService } from '../support/fake-object-service.js';

let service: FakeObjectService;
let store: ClaimStore;

const key = 'claims/ab12';
const claim: Claim = {
  attempt: 'r1.1',
  backend: 'b1',
  sidecarIncarnation: 's',
  dataUrl: 'http://127.0.0.1:1',
  routerIncarnation: 'r1',
  bodyDigest: 'd',
  state: 'claimed',
  claimedAtMs: 0,
  expiresAtMs: 100,
};

const readCode = async () => {
  const result = await store.run({ kind: 'store-read', key });
  return result.outcome.code;
};
const createClaim = async () => {
  const result = await store.run({ kind: 'store-create', key, claim });
  return result.outcome;
};

beforeEach(async () => {
  service = await startFakeObjectService();
  store = createClaimStore(createObjectClient({ url: service.url, timeoutMs: 500 }));
});
afterEach(() => service.close());

test('creates a claim once and replaces it only at its current version', async () => {
  assert.equal(await readCode(), 'absent');
  const created = await createClaim();
  assert.ok(created.code === 'ok');
  assert.equal((await createClaim()).code, 'conflict');
  const update = { kind: 'store-update' as const, key, claim };
  const stale = await store.run({ ...update, version: created.version - 1 });
  assert.equal(stale.outcome.code, 'conflict');
  const replaced = await store.run({ ...update, version: created.version });
  assert.equal(replaced.outcome.code, 'ok');
  assert.equal(await readCode(), 'found');
});

test('distinguishes an outage from a lost response', async () => {
  service.faults.status = 503;
  assert.equal((await createClaim()).code, 'failed');
  assert.equal(await readCode(), 'failed');
  service.faults.status = undefined;
  service.faults.lostResponses = 1;
  assert.equal((await createClaim()).code, 'unknown');
  assert.equal(await readCode(), 'found');
});

test('omits a recorded response that exceeds the size limit of an object', async () => {
  const answer = { status: 200, headers: [], bodyBase64: 'A'.repeat(1024 * 1024) };
  const recorded: Claim = { ...claim, state: 'recorded', answer };
  const written = await store.run({ kind: 'store-create', key, claim: recorded });
  assert.equal(written.outcome.code, 'ok');
  const read = await store.run({ kind: 'store-read', key });
  assert.ok(read.outcome.code === 'found' && 'claim' in read.outcome);
  assert.equal(read.outcome.claim.state, 'recorded');
  assert.equal(read.outcome.claim.answer, undefined);
});

test('sweep removes only expired claims with the given prefix', async () => {
  await createClaim();
  const request = { digestPrefix: 'ab', limit: 10 };
  assert.deepEqual(await store.sweep({ ...request, nowMs: 99 }), { ok: true, removed: 0 });
  assert.deepEqual(await store.sweep({ ...request, digestPrefix: 'cd', nowMs: 100 }), {
    ok: true,
    removed: 0,
  });
  assert.deepEqual(await store.sweep({ ...request, nowMs: 100 }), { ok: true, removed: 1 });
  assert.equal(await readCode(), 'absent');
});
