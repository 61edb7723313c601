import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';

import { createLeaseState, leaseReducer } from '@kingcupsill/core';
import type { LeaseEvent, LeaseState } from '@kingcupsill/core';

import { createObjectClient, runLeaseStoreEffect } from '../../src/index.js';
import { startFakeObjectService } from '../support/fake-object-service.js';
import type { FakeObjectService } from '../support/fake-object-service.js';

let service: FakeObjectService;
before(async () => {
  service = await startFakeObjectService();
});
after(() => service.close());

test('two processes hold the lease in turn with increasing fencing numbers, despite a lost response', async () => {
  const objects = createObjectClient({ url: service.url, timeoutMs: 500 });
  const createState = (holder: string) =>
    createLeaseState({ name: 'e1', holder, durationMs: 1000 });
  const processEvents = async (state: LeaseState, firstEvent: LeaseEvent): Promise<void> => {
    const events = [firstEvent];
    for (const event of events) {
      for (const effect of leaseReducer(state, event).effects) {
        if (effect.kind !== 'store-read' && effect.kind !== 'store-write') continue;
        events.push({ ...(await runLeaseStoreEffect(objects, effect)), nowMs: firstEvent.nowMs });
      }
    }
  };
  const a = createState('a');
  const b = createState('b');
  service.faults.lostResponses = 1;
  await processEvents(a, { kind: 'wanted', nowMs: 0, wanted: true });
  assert.equal(a.phase, 'held');
  await processEvents(b, { kind: 'wanted', nowMs: 10, wanted: true });
  assert.equal(b.phase, 'waiting');
  await processEvents(a, { kind: 'wanted', nowMs: 20, wanted: false });
  await processEvents(b, { kind: 'tick', nowMs: 200 });
  assert.equal(b.phase, 'held');
  assert.deepEqual([a.lease?.fencing, b.lease?.fencing], [1, 2]);
});
