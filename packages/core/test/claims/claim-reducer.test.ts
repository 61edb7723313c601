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

const createClaim = (overrides: Partial<Claim> = {}): Claim => ({
  ...target,
  attempt: 'r9.1',
  routerIncarnation: 'r9',
  bodyDigest: 'd',
  state: 'claimed',
  claimedAtMs: NOW_MS - CLAIM_IN_PROGRESS_GRACE_MS,
  expiresAtMs: NOW_MS + CLAIM_TTL_MS,
  ...overrides,
});

/** Feeds the events to a new request and returns the effects of the last one. */
const runEvents = (...events: ClaimEvent[]): ClaimEffect[] => {
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
  outcome: { code: 'found', version: 3, claim: createClaim(overrides) },
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

test('an attempt is dispatched only after its claim is confirmed', () => {
  assert.deepEqual(kinds(runEvents(absent)), ['await-slot']);
  assert.deepEqual(kinds(runEvents(absent, granted)), ['store-create']);
  assert.deepEqual(runEvents(absent, granted, confirmed), [{ kind: 'dispatch', target }]);
});

test('the response of a finished attempt is recorded in its claim', () => {
  const ended: ClaimEvent = {
    kind: 'attempt-ended',
    nowMs: NOW_MS,
    outcome: { code: 'finished', answer },
  };
  const [effect] = runEvents(absent, granted, confirmed, ended);
  assert.ok(effect?.kind === 'store-update');
  assert.equal(effect.version, 4);
  assert.equal(effect.claim.state, 'recorded');
  assert.deepEqual(effect.claim.answer, answer);
});

test('a retry gets the recorded response', () => {
  assert.deepEqual(runEvents(found({ state: 'recorded', answer })), [{ kind: 'answer', answer }]);
});

test('a key reused with another body is refused as not run, with and without a recorded response', () => {
  const refusal = [{ kind: 'refuse', code: 'idempotency_key_reused', ran: 'no' }];
  assert.deepEqual(runEvents(found({ bodyDigest: 'other' })), refusal);
  assert.deepEqual(runEvents(found({ bodyDigest: 'other', state: 'recorded', answer })), refusal);
});

test('a recent claim counts as in progress, and the sidecar of an older one is queried', () => {
  assert.deepEqual(runEvents(found({ claimedAtMs: NOW_MS - 1 })), [
    { kind: 'refuse', code: 'in_progress', ran: 'unknown' },
  ]);
  assert.deepEqual(kinds(runEvents(found({}))), ['bar-attempt']);
});

test('for an old claim only the response is fetched, because the journal may have dropped the attempt', () => {
  const oldClaim = found({ claimedAtMs: NOW_MS - MAX_BARRABLE_CLAIM_AGE_MS - 1 });
  assert.deepEqual(kinds(runEvents(oldClaim)), ['fetch-answer']);
  const none: ClaimEvent = { kind: 'answer-fetched', nowMs: NOW_MS };
  assert.deepEqual(runEvents(oldClaim, none), [
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
  ]);
  assert.deepEqual(kinds(runEvents(oldClaim, { ...none, answer })), ['answer', 'store-update']);
});

test('only a barred attempt is replaced, by a write conditional on the version read', () => {
  const outcomeEvent = (
    outcome: 'barred' | 'running' | 'unknown-outcome' | 'unreachable',
  ): ClaimEvent => ({
    kind: 'attempt-asked',
    nowMs: NOW_MS,
    outcome,
  });
  const [update] = runEvents(found({}), outcomeEvent('barred'), granted);
  assert.equal(update?.kind === 'store-update' && update.version, 3);
  const refusals = (['running', 'unknown-outcome', 'unreachable'] as const).map(
    (outcome) => runEvents(found({}), outcomeEvent(outcome))[0],
  );
  assert.deepEqual(refusals, [
    { kind: 'refuse', code: 'in_progress', ran: 'unknown' },
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
  ]);
});

test('the response of an attempt whose router failed is fetched, sent to the caller and recorded', () => {
  const outcomeEvent: ClaimEvent = { kind: 'attempt-asked', nowMs: NOW_MS, outcome: 'finished' };
  assert.deepEqual(kinds(runEvents(found({}), outcomeEvent)), ['fetch-answer']);
  const fetched: ClaimEvent = { kind: 'answer-fetched', nowMs: NOW_MS, answer };
  assert.deepEqual(kinds(runEvents(found({}), outcomeEvent, fetched)), ['answer', 'store-update']);
});

test('a request is refused as not run while the object service is unavailable', () => {
  const refusal = { kind: 'refuse', code: 'claim_store_unavailable', ran: 'no' };
  const failed: ClaimEvent = { kind: 'claim-read', nowMs: NOW_MS, outcome: { code: 'failed' } };
  assert.deepEqual(runEvents(failed), [refusal]);
  const declined = { kind: 'decline-slot', target };
  assert.deepEqual(runEvents(absent, granted, written('failed')), [declined, refusal]);
  assert.deepEqual(runEvents(absent, granted, written('unknown'), failed), [declined, refusal]);
});

test('after a lost response the claim is read back and dispatched only if it is the own one', () => {
  assert.deepEqual(kinds(runEvents(absent, granted, written('unknown'))), ['store-read']);
  const own = found({ attempt: target.attempt });
  assert.deepEqual(kinds(runEvents(absent, granted, written('unknown'), own)), ['dispatch']);
  const other = found({ claimedAtMs: NOW_MS });
  assert.deepEqual(kinds(runEvents(absent, granted, written('conflict'), other)), [
    'decline-slot',
    'refuse',
  ]);
  assert.deepEqual(kinds(runEvents(absent, granted, written('unknown'), absent)), ['store-create']);
});

test('a request whose attempt did not run waits for another slot and replaces its own claim', () => {
  const notRun: ClaimEvent = { kind: 'attempt-ended', nowMs: NOW_MS, outcome: { code: 'not-run' } };
  assert.deepEqual(kinds(runEvents(absent, granted, confirmed, notRun)), ['await-slot']);
  const next: ClaimEvent = { ...granted, target: { ...target, attempt: 'r1.2' } };
  const [update] = runEvents(absent, granted, confirmed, notRun, next);
  assert.ok(update?.kind === 'store-update');
  assert.equal(update.version, 4);
  assert.equal(update.claim.attempt, 'r1.2');
});

test('a request that is withdrawn after its attempt did not run removes its claim', () => {
  const notRun: ClaimEvent = { kind: 'attempt-ended', nowMs: NOW_MS, outcome: { code: 'not-run' } };
  const withdrawn: ClaimEvent = { kind: 'withdrawn', nowMs: NOW_MS };
  assert.deepEqual(runEvents(absent, granted, confirmed, notRun, withdrawn), [
    { kind: 'store-remove', key: 'claims/k', version: 4 },
  ]);
  assert.deepEqual(runEvents(absent, withdrawn), []);
});

test('an expired claim is replaced', () => {
  const expired = found({ state: 'recorded', answer, expiresAtMs: NOW_MS });
  assert.deepEqual(kinds(runEvents(expired)), ['await-slot']);
  const [update] = runEvents(expired, granted);
  assert.equal(update?.kind === 'store-update' && update.version, 3);
});

test('a barred state is not trusted if the sidecar may have dropped the attempt from its journal', () => {
  const outcomeEvent: ClaimEvent = { kind: 'attempt-asked', nowMs: NOW_MS, outcome: 'barred' };
  const claimOfAge = (ageMs: number) => found({ claimedAtMs: NOW_MS - ageMs });
  assert.deepEqual(kinds(runEvents(claimOfAge(MAX_BARRABLE_CLAIM_AGE_MS - 1), outcomeEvent)), [
    'await-slot',
  ]);
  assert.deepEqual(runEvents(claimOfAge(MAX_BARRABLE_CLAIM_AGE_MS), outcomeEvent), [
    { kind: 'refuse', code: 'outcome_unknown', ran: 'unknown' },
  ]);
});

test('an attempt whose claim is confirmed too late is not sent, and the request waits for another slot', () => {
  const late: ClaimEvent = { ...confirmed, nowMs: NOW_MS + MAX_BARRABLE_CLAIM_AGE_MS };
  assert.deepEqual(kinds(runEvents(absent, granted, late)), ['decline-slot', 'await-slot']);
});
