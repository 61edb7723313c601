import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';

import { createRouterState, routerReducer } from '../../src/index.js';
import type { IncomingRequest, RouterEffect, RouterEvent, RouterState } from '../../src/index.js';

const WALL_OFFSET_MS = 1_700_000_000_000;
const LINK = 'l1';

let state: RouterState;
let nowMs: number;

type Untimed<T> = T extends RouterEvent ? Omit<T, 'nowMs' | 'wallMs'> : never;

/** Applies an event and returns its effects without messages about demand. */
const feed = (event: Untimed<RouterEvent>): RouterEffect[] => {
  nowMs += 1;
  const timed = { ...event, nowMs, wallMs: nowMs + WALL_OFFSET_MS } as RouterEvent;
  return routerReducer(state, timed).effects.filter(
    (effect) => effect.kind !== 'send' || effect.message.kind !== 'demand',
  );
};
const kinds = (effects: RouterEffect[]) => effects.map(({ kind }) => kind);

const arrive = (overrides: Partial<IncomingRequest> = {}): RouterEffect[] => {
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
  return feed({ kind: 'request-arrived', info, seed: 0 });
};
const absent = (request = '1') =>
  feed({ kind: 'claim-read', request, outcome: { code: 'absent' } });
const grant = (id: number) => {
  const message = { kind: 'grant' as const, grant: id, account: 'kingston' };
  return feed({
    kind: 'message',
    link: LINK,
    message: { ...message, poolVirtualTimeMs: 0 },
  } as Untimed<RouterEvent>);
};
const written = (version: number) =>
  feed({ kind: 'claim-written', request: '1', outcome: { code: 'ok', version } });

beforeEach(() => {
  nowMs = 0;
  state = createRouterState({ incarnation: 'r1' });
  feed({
    kind: 'sidecar-linked',
    link: LINK,
    backend: 'b1',
    pool: 'plain',
    dataUrl: 'http://b1',
    incarnation: 's1',
    distance: 'same-zone',
  });
});

test('a granted slot is held while the claim is written, then the attempt runs on it', () => {
  assert.deepEqual(kinds(arrive()), ['store-read']);
  absent();
  const [create] = grant(7);
  assert.ok(create?.kind === 'store-create');
  assert.equal(create.claim.claimedAtMs, nowMs + WALL_OFFSET_MS);
  const [dispatch] = written(1);
  assert.ok(dispatch?.kind === 'dispatch');
  assert.deepEqual([dispatch.grant, dispatch.attempt], [7, create.claim.attempt]);
  const ended = feed({ kind: 'attempt-ended', attempt: dispatch.attempt, slotMs: 5 });
  assert.deepEqual(kinds(ended), ['store-update']);
  assert.deepEqual(kinds(written(2)), ['forget']);
  assert.equal(state.requests.size, 0);
});

test('a grant that ran out while the claim was written costs a new attempt under a new claim', () => {
  arrive();
  absent();
  grant(7);
  written(1);
  feed({ kind: 'attempt-refused', attempt: 'r1.1', reason: 'late-grant' });
  const [update] = grant(8);
  assert.ok(update?.kind === 'store-update');
  assert.deepEqual([update.version, update.claim.attempt], [1, 'r1.2']);
});

test('a slot whose claim can not be written is given back and costs nothing', () => {
  arrive();
  absent();
  grant(7);
  const effects = feed({ kind: 'claim-written', request: '1', outcome: { code: 'failed' } });
  assert.deepEqual(kinds(effects), ['send', 'refuse', 'forget']);
  const [decline] = effects;
  assert.deepEqual(decline?.kind === 'send' && decline.message, { kind: 'decline', grant: 7 });
  assert.deepEqual([state.attempts.size, state.requests.size], [0, 0]);
});

test('a keyed request is not run again after an unknown outcome, though idempotent', () => {
  arrive();
  absent();
  grant(7);
  written(1);
  feed({ kind: 'attempt-lost', attempt: 'r1.1', relayedBytes: 0, headRelayed: false });
  const effects = feed({
    kind: 'outcome-learned',
    attempt: 'r1.1',
    outcome: 'unknown-outcome',
  });
  assert.deepEqual(kinds(effects), ['refuse', 'forget']);
  assert.equal(effects[0]?.kind === 'refuse' && effects[0].ran, 'unknown');
});

test('a caller that leaves takes a waiting request out, and leaves a dispatched one running', () => {
  arrive();
  absent();
  assert.deepEqual(kinds(feed({ kind: 'request-gone', request: '1' })), ['forget']);
  arrive({ request: '2' });
  feed({ kind: 'request-gone', request: '2' });
  assert.deepEqual(kinds(absent('2')), ['forget']);
  arrive();
  absent();
  grant(7);
  written(1);
  assert.deepEqual(feed({ kind: 'request-gone', request: '1' }), []);
  assert.equal(state.attempts.size, 1);
});

test('the limit of the queue and the time in it hold for keyed requests', () => {
  ['1', '2', '3'].forEach((request) => arrive({ request }));
  ['1', '2'].forEach((request) => absent(request));
  const full = absent('3');
  assert.deepEqual(kinds(full), ['refuse', 'forget']);
  assert.equal(full[0]?.kind === 'refuse' && full[0].code, 'queue_full');
  assert.deepEqual(kinds(arrive({ request: '4' })), ['refuse', 'forget']);
  nowMs += 1000;
  assert.deepEqual(kinds(feed({ kind: 'tick' })), ['refuse', 'forget', 'refuse', 'forget']);
  assert.equal(state.requests.size, 0);
});
