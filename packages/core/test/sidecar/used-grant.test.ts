import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createSidecarState, sidecarReducer } from '../../src/index.js';
import type { SidecarEffect, SidecarEvent } from '../../src/index.js';

// A grant used within the round-trip time must not count as pending, or a request would wait although a slot is free.
test('grants a free slot on demand reported within the round-trip time of a used grant', () => {
  let state = createSidecarState({ backend: 'b', pool: 'p', slots: 1 });
  const apply = (event: SidecarEvent): SidecarEffect[] => {
    const step = sidecarReducer(state, event);
    state = step.state;
    return step.effects;
  };
  const grantsOf = (effects: SidecarEffect[]) =>
    effects.flatMap((e) => (e.kind === 'send' && e.message.kind === 'grant' ? [e.message] : []));
  const entry = { account: 'a', virtualTimeMs: 0, waiting: 1, estimateMs: 100, share: 1 };
  const demand = { kind: 'demand' as const, full: false, poolVirtualTimeMs: 0, entries: [entry] };
  const from = { router: 'r', incarnation: 'r1', distance: 'same-zone' as const };

  apply({ kind: 'backend-synced', nowMs: 0 });
  apply({ kind: 'link-opened', nowMs: 0, link: 'l', ...from });
  apply({ kind: 'round-trips', nowMs: 0, roundTrips: [{ link: 'l', rttMs: 5 }] });
  const [first] = grantsOf(apply({ kind: 'message', nowMs: 10, link: 'l', message: demand }));
  assert.ok(first);
  const decline = { kind: 'decline' as const, grant: first.grant };
  apply({ kind: 'message', nowMs: 11, link: 'l', message: decline });
  const [second] = grantsOf(apply({ kind: 'message', nowMs: 12, link: 'l', message: demand }));
  assert.ok(second);
  const offer = { attempt: 'r1.1', incarnation: 'r1', account: 'a', estimateMs: 100 };
  apply({ kind: 'attempt-offered', nowMs: 13, offer: { ...offer, grant: second.grant } });
  apply({ kind: 'attempt-ended', nowMs: 14, attempt: 'r1.1', ran: true });
  assert.equal(
    grantsOf(apply({ kind: 'message', nowMs: 15, link: 'l', message: demand })).length,
    1,
  );
});
