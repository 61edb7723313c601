import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  MAX_BARRABLE_CLAIM_AGE_MS,
  CLAIM_IN_PROGRESS_GRACE_MS,
  CLAIM_TTL_MS,
  claimReducer,
  createClaimState,
} from '../../src/index.js';
import type { Claim, ClaimEffect, ClaimEvent } from '../../src/index.js';

const NOW_MS = 5_000_000;
const target = { attempt: 'r1.1', backend: 'b1', sidecarIncarnation: 's', dataUrl: 'http://b1' };
const answer = { status: 201, headers: [], bodyBase64: 'b2s=' };

const claim = (overrides: Partial<Claim> = {}): Claim => ({
  ...target,
  attempt: 'r9.1',
  routerIncarnation: 'r9',
  bodyDigest: 'd',
  state: 'claimed',
  claimedAtMs: NOW_MS - CLAIM_IN_PROGRESS_GRACE_MS,
  expiresAtMs: NOW_MS + CLAIM_TTL_MS,
  ...overrides,
});

/** Feeds events to a new request and returns the effects of the last. */
const run = (...events: ClaimEvent[]): ClaimEffect[] => {
  const state = createClaimState({ key: 'claims/k', bodyDigest: 'd', routerIncarnation: 'r1' });
  let { effects } = claimReducer(state, { kind: 'request', nowMs: NOW_MS });
  events.forEach((event) => {
    effects = claimReducer(state, event).effects;
  });
  return effects;
};

const found = (overrides: Partial<Claim>): ClaimEvent => ({
  kind: 'claim-read',
  nowMs: NOW_MS,
  outcome: { code: 'found', version: 3, claim: claim(overrides) },
});
const absent: ClaimEvent = { kind: 'claim-read', nowMs: NOW_MS, outcome: { code: 'absent' } };
const granted: ClaimEvent = { kind: 'slot-granted', nowMs: NOW_MS, target };
const written = (code: 'conflict' | 'failed' | 'unknown'): ClaimEvent => ({
  kind: 'claim-written',
  nowMs: NOW_MS,
  outcome: { code },
});
const confirmed: ClaimEvent = {
  kind: 'claim-written',
  nowMs: NOW_MS,
  outcome: { code: 'ok', version: 4 },
};
const kinds = (effects: ClaimEffect[]) => effects.map(({ kind }) => kind);

test('nothing is dispatched before the claim is confirmed', () => {
  assert.deepEqual(kinds(run(absent)), ['await-slot']);
  assert.deepEqual(kinds(run(absent, granted)), ['store-create']);
  assert.deepEqual(run(absent, granted, confirmed), [{ kind: 'dispatch', target }]);
});

test('a finished attempt is recorded over its own claim', () => {
  const ended: ClaimEvent = {
    kind: 'attempt-ended',
    nowMs: NOW_MS,
    outcome: { code: 'finished', answer },
  };
  const [effect] = run(absent, granted, confirmed, ended);
  assert.ok(effect?.kind === 'store-update');
  assert.equal(effect.version, 4);
  assert.equal(effect.claim.state, 'recorded');
  assert.deepEqual(effect.claim.answer, answer);
});

test('a repeat gets the recorded answer', () => {
  assert.deepEqual(run(found({ state: 'recorded', answer })), [{ kind: 'answer', answer }]);
});

test('the same key with another body is refused as not run, recorded or not', () => {
  const refusal = [{ kind: 'refuse', code: 'idempotency_key_reused', ran: 'no' }];
  assert.deepEqual(run(found({ bodyDigest: 'other' })), refusal);
  assert.deepEqual(run(found({ bodyDigest: 'other', state: 'recorded', answer })), refusal);
});

test('a fresh claim is in progress; an older one is asked about before anything else', () => {
  assert.deepEqual(run(found({ claimedAtMs: NOW_MS - 1 })), [
    { kind: 'refuse', code: 'in_progress', ran: 'unknown' },
  ]);
  assert.deepEqual(kinds(run(found({}))), ['bar-attempt']);
});

test('the sidecar of an old claim is asked for the answer only, as its journal may have forgotten', () => {
  const old = found({ claimedAtMs: NOW_MS - MAX_BARRABLE_CLAIM_AGE_MS - 1 });
  assert.deepEqual(kinds(run(old)), ['fetch-answer']);
  const none: ClaimEvent = { kind: 'answer-fetched', nowMs: NOW_MS };
  assert.deepEqual(run(old, none), [{ kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' }]);
  assert.deepEqual(kinds(run(old, { ...none, answer })), ['answer', 'store-update']);
});

test('only a barred attempt is replaced, by a write on the version that was read', () => {
  const asked = (
    outcome: 'barred' | 'running' | 'unknown-outcome' | 'unreachable',
  ): ClaimEvent => ({
    kind: 'attempt-asked',
    nowMs: NOW_MS,
    outcome,
  });
  const [update] = run(found({}), asked('barred'), granted);
  assert.equal(update?.kind === 'store-update' && update.version, 3);
  const refusals = (['running', 'unknown-outcome', 'unreachable'] as const).map(
    (outcome) => run(found({}), asked(outcome))[0],
  );
  assert.deepEqual(refusals, [
    { kind: 'refuse', code: 'in_progress', ran: 'unknown' },
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
  ]);
});

test('the answer of an attempt whose router died is fetched, given and recorded', () => {
  const asked: ClaimEvent = { kind: 'attempt-asked', nowMs: NOW_MS, outcome: 'finished' };
  assert.deepEqual(kinds(run(found({}), asked)), ['fetch-answer']);
  const fetched: ClaimEvent = { kind: 'answer-fetched', nowMs: NOW_MS, answer };
  assert.deepEqual(kinds(run(found({}), asked, fetched)), ['answer', 'store-update']);
});

test('while the object service is down a request is refused as not run', () => {
  const refusal = { kind: 'refuse', code: 'claim_store_unavailable', ran: 'no' };
  const failed: ClaimEvent = { kind: 'claim-read', nowMs: NOW_MS, outcome: { code: 'failed' } };
  assert.deepEqual(run(failed), [refusal]);
  const declined = { kind: 'decline-slot', target };
  assert.deepEqual(run(absent, granted, written('failed')), [declined, refusal]);
  assert.deepEqual(run(absent, granted, written('unknown'), failed), [declined, refusal]);
});

test('after a lost answer the claim is read back: its own is dispatched, another is not', () => {
  assert.deepEqual(kinds(run(absent, granted, written('unknown'))), ['store-read']);
  const own = found({ attempt: target.attempt });
  assert.deepEqual(kinds(run(absent, granted, written('unknown'), own)), ['dispatch']);
  const other = found({ claimedAtMs: NOW_MS });
  assert.deepEqual(kinds(run(absent, granted, written('conflict'), other)), [
    'decline-slot',
    'refuse',
  ]);
  assert.deepEqual(kinds(run(absent, granted, written('unknown'), absent)), ['store-create']);
});

test('an attempt that was not run waits for another slot and replaces its own claim', () => {
  const notRun: ClaimEvent = { kind: 'attempt-ended', nowMs: NOW_MS, outcome: { code: 'not-run' } };
  assert.deepEqual(kinds(run(absent, granted, confirmed, notRun)), ['await-slot']);
  const next: ClaimEvent = { ...granted, target: { ...target, attempt: 'r1.2' } };
  const [update] = run(absent, granted, confirmed, notRun, next);
  assert.ok(update?.kind === 'store-update');
  assert.equal(update.version, 4);
  assert.equal(update.claim.attempt, 'r1.2');
});

test('a request withdrawn after its attempts were barred removes its claim', () => {
  const notRun: ClaimEvent = { kind: 'attempt-ended', nowMs: NOW_MS, outcome: { code: 'not-run' } };
  const withdrawn: ClaimEvent = { kind: 'withdrawn', nowMs: NOW_MS };
  assert.deepEqual(run(absent, granted, confirmed, notRun, withdrawn), [
    { kind: 'store-remove', key: 'claims/k', version: 4 },
  ]);
  assert.deepEqual(run(absent, withdrawn), []);
});

test('an expired claim no longer guards its key', () => {
  const expired = found({ state: 'recorded', answer, expiresAtMs: NOW_MS });
  assert.deepEqual(kinds(run(expired)), ['await-slot']);
  const [update] = run(expired, granted);
  assert.equal(update?.kind === 'store-update' && update.version, 3);
});

test('a sidecar that may have forgotten an attempt is not believed that it never ran', () => {
  const asked: ClaimEvent = { kind: 'attempt-asked', nowMs: NOW_MS, outcome: 'barred' };
  const old = (ageMs: number) => found({ claimedAtMs: NOW_MS - ageMs });
  assert.deepEqual(kinds(run(old(MAX_BARRABLE_CLAIM_AGE_MS - 1), asked)), ['await-slot']);
  assert.deepEqual(run(old(MAX_BARRABLE_CLAIM_AGE_MS), asked), [
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
  ]);
});

test('after a pause as long, an attempt is not sent but claimed anew', () => {
  const late: ClaimEvent = { ...confirmed, nowMs: NOW_MS + MAX_BARRABLE_CLAIM_AGE_MS };
  assert.deepEqual(kinds(run(absent, granted, late)), ['decline-slot', 'await-slot']);
});
