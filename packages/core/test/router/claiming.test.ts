import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';

import { createRouterState, routerReducer } from '../../src/index.js';
import type { IncomingRequest, RouterEffect, RouterEvent, RouterState } from '../../src/index.js';

const WALL_OFFSET_MS = 1_700_000_000_000;
const LINK = 'l1';

let state: RouterState;
let nowMs: number;

type Untimed<T> = T extends RouterEvent ? Omit<T, 'nowMs' | 'wallMs'> : never;

/** Applies an event one millisecond later and returns its effects without demand messages. */
const applyEvent = (event: Untimed<RouterEvent>): RouterEffect[] => {
  nowMs += 1;
  const timedEvent = { ...event, nowMs, wallMs: nowMs + WALL_OFFSET_MS } as RouterEvent;
  return routerReducer(state, timedEvent).effects.filter(
    (effect) => effect.kind !== 'send' || effect.message.kind !== 'demand',
  );
};
const kindsOf = (effects: RouterEffect[]) => effects.map(({ kind }) => kind);

const submitRequest = (overrides: Partial<IncomingRequest> = {}): RouterEffect[] => {
  const info: IncomingRequest = {
    request: '1',
    account: 'kingston',
    service: 'stock',
    pool: 'plain',
    share: 1,
    idempotent: true,
    queueTimeoutMs: 1000,
    maxQueued: 2,
    claim: { key: 'claims/k', bodyDigest: 'd', arrivedWallMs: nowMs + 1 + WALL_OFFSET_MS },
    ...overrides,
  };
  return applyEvent({ kind: 'request-arrived', info, seed: 0 });
};
const reportClaimAbsent = (request = '1') =>
  applyEvent({ kind: 'claim-read', request, outcome: { code: 'absent' } });
const grantSlot = (grantNumber: number) => {
  const message = { kind: 'grant' as const, grant: grantNumber, account: 'kingston' };
  return applyEvent({
    kind: 'message',
    link: LINK,
    message: { ...message, poolVirtualTimeMs: 0 },
  } as Untimed<RouterEvent>);
};
const reportClaimWritten = (version: number) =>
  applyEvent({ kind: 'claim-written', request: '1', outcome: { code: 'ok', version } });

beforeEach(() => {
  nowMs = 0;
  state = createRouterState({ incarnation: 'r1' });
  applyEvent({
    kind: 'sidecar-linked',
    link: LINK,
    backend: 'b1',
    pool: 'plain',
    dataUrl: 'http://b1',
    incarnation: 's1',
    distance: 'same-zone',
  });
});

test('reserves a granted slot while the claim is written, then dispatches the attempt with it', () => {
  assert.deepEqual(kindsOf(submitRequest()), ['store-read']);
  reportClaimAbsent();
  const [create] = grantSlot(7);
  assert.ok(create?.kind === 'store-create');
  assert.equal(create.claim.claimedAtMs, nowMs + WALL_OFFSET_MS);
  const [dispatch] = reportClaimWritten(1);
  assert.ok(dispatch?.kind === 'dispatch');
  assert.deepEqual([dispatch.grant, dispatch.attempt], [7, create.claim.attempt]);
  const ended = applyEvent({ kind: 'attempt-ended', attempt: dispatch.attempt, slotMs: 5 });
  assert.deepEqual(kindsOf(ended), ['store-update']);
  assert.deepEqual(kindsOf(reportClaimWritten(2)), ['forget']);
  assert.equal(state.requests.size, 0);
});

test('starts a new attempt with an updated claim if the grant expired while the claim was written', () => {
  submitRequest();
  reportClaimAbsent();
  grantSlot(7);
  reportClaimWritten(1);
  applyEvent({ kind: 'attempt-refused', attempt: 'r1.1', reason: 'late-grant' });
  const [update] = grantSlot(8);
  assert.ok(update?.kind === 'store-update');
  assert.deepEqual([update.version, update.claim.attempt], [1, 'r1.2']);
});

test('declines the grant and settles the attempt if the claim cannot be written', () => {
  submitRequest();
  reportClaimAbsent();
  grantSlot(7);
  const effects = applyEvent({ kind: 'claim-written', request: '1', outcome: { code: 'failed' } });
  assert.deepEqual(kindsOf(effects), ['send', 'refuse', 'forget']);
  const [decline] = effects;
  assert.deepEqual(decline?.kind === 'send' && decline.message, { kind: 'decline', grant: 7 });
  assert.deepEqual([state.attempts.size, state.requests.size], [0, 0]);
});

test('does not retry an idempotent request with an Idempotency-Key after an unknown outcome', () => {
  submitRequest();
  reportClaimAbsent();
  grantSlot(7);
  reportClaimWritten(1);
  applyEvent({ kind: 'attempt-lost', attempt: 'r1.1', relayedBytes: 0, headRelayed: false });
  const effects = applyEvent({
    kind: 'outcome-learned',
    attempt: 'r1.1',
    outcome: 'unknown-outcome',
  });
  assert.deepEqual(kindsOf(effects), ['refuse', 'forget']);
  assert.equal(effects[0]?.kind === 'refuse' && effects[0].ran, 'unknown');
});

test('withdraws a waiting request when its caller disconnects, but keeps a dispatched one running', () => {
  submitRequest();
  reportClaimAbsent();
  assert.deepEqual(kindsOf(applyEvent({ kind: 'request-gone', request: '1' })), ['forget']);
  submitRequest({ request: '2' });
  applyEvent({ kind: 'request-gone', request: '2' });
  assert.deepEqual(kindsOf(reportClaimAbsent('2')), ['forget']);
  submitRequest();
  reportClaimAbsent();
  grantSlot(7);
  reportClaimWritten(1);
  assert.deepEqual(applyEvent({ kind: 'request-gone', request: '1' }), []);
  assert.equal(state.attempts.size, 1);
});

test('applies the queue limit and the queue timeout to requests with an Idempotency-Key', () => {
  ['1', '2', '3'].forEach((request) => submitRequest({ request }));
  ['1', '2'].forEach((request) => reportClaimAbsent(request));
  const refused = reportClaimAbsent('3');
  assert.deepEqual(kindsOf(refused), ['refuse', 'forget']);
  assert.equal(refused[0]?.kind === 'refuse' && refused[0].code, 'queue_full');
  assert.deepEqual(kindsOf(submitRequest({ request: '4' })), ['refuse', 'forget']);
  nowMs += 1000;
  assert.deepEqual(kindsOf(applyEvent({ kind: 'tick' })), ['refuse', 'forget', 'refuse', 'forget']);
  assert.equal(state.requests.size, 0);
});
