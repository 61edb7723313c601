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

const codeOfRead = async () => {
  const answer = await store.run({ kind: 'store-read', key });
  return answer.outcome.code;
};
const create = async () => {
  const answer = await store.run({ kind: 'store-create', key, claim });
  return answer.outcome;
};

beforeEach(async () => {
  service = await startFakeObjectService();
  store = createClaimStore(createObjectClient({ url: service.url, timeoutMs: 500 }));
});
afterEach(() => service.close());

test('a claim is created once and replaced on its version only', async () => {
  assert.equal(await codeOfRead(), 'absent');
  const created = await create();
  assert.ok(created.code === 'ok');
  assert.equal((await create()).code, 'conflict');
  const update = { kind: 'store-update' as const, key, claim };
  const stale = await store.run({ ...update, version: created.version - 1 });
  assert.equal(stale.outcome.code, 'conflict');
  const replaced = await store.run({ ...update, version: created.version });
  assert.equal(replaced.outcome.code, 'ok');
  assert.equal(await codeOfRead(), 'found');
});

test('an outage and a lost answer are told apart', async () => {
  service.faults.status = 503;
  assert.equal((await create()).code, 'failed');
  assert.equal(await codeOfRead(), 'failed');
  service.faults.status = undefined;
  service.faults.lostResponses = 1;
  assert.equal((await create()).code, 'unknown');
  assert.equal(await codeOfRead(), 'found');
});

test('an answer too large for an object is left out of the claim', async () => {
  const answer = { status: 200, headers: [], bodyBase64: 'A'.repeat(1024 * 1024) };
  const recorded: Claim = { ...claim, state: 'recorded', answer };
  const written = await store.run({ kind: 'store-create', key, claim: recorded });
  assert.equal(written.outcome.code, 'ok');
  const read = await store.run({ kind: 'store-read', key });
  assert.ok(read.outcome.code === 'found' && 'claim' in read.outcome);
  assert.equal(read.outcome.claim.state, 'recorded');
  assert.equal(read.outcome.claim.answer, undefined);
});

test('a sweep removes expired claims under its prefix', async () => {
  await create();
  const request = { digestPrefix: 'ab', limit: 10 };
  assert.deepEqual(await store.sweep({ ...request, nowMs: 99 }), { ok: true, removed: 0 });
  assert.deepEqual(await store.sweep({ ...request, digestPrefix: 'cd', nowMs: 100 }), {
    ok: true,
    removed: 0,
  });
  assert.deepEqual(await store.sweep({ ...request, nowMs: 100 }), { ok: true, removed: 1 });
  assert.equal(await codeOfRead(), 'absent');
});
