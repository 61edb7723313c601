import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';

import { createConfigReducer, createConfigState, createHasher } from '@kingcupsill/core';
import type { ConfigEffect, ConfigEvent } from '@kingcupsill/core';

import { createConfigStore, createObjectClient } from '../../src/index.js';
import { startFakeObjectService } from '../support/fake-object-service.js';
import type { FakeObjectService } from '../support/fake-object-service.js';

let service: FakeObjectService;
before(async () => {
  service = await startFakeObjectService();
});
after(() => service.close());

test('brings each committed version into force', { timeout: 10_000 }, async () => {
  const createStore = () =>
    createConfigStore({ objects: createObjectClient({ url: service.url, timeoutMs: 500 }) });
  const operatorStore = createStore();
  const ownStore = createStore();
  const reduce = createConfigReducer(await createHasher());
  const state = createConfigState({ id: 'r1', role: 'router', seed: 1 }, 0);
  const aborter = new AbortController();
  const versionsInForce: number[] = [];

  const runEffect = async (effect: ConfigEffect): Promise<ConfigEvent[]> => {
    if (effect.kind === 'config-in-force') versionsInForce.push(effect.config.version);
    if (effect.kind !== 'poll-store' || aborter.signal.aborted) return [];
    const { signal } = aborter;
    const { mode, version, timeoutMs } = effect;
    const outcome =
      mode === 'load'
        ? await ownStore.load()
        : await ownStore.watch({ version, timeoutMs, signal });
    if (!outcome.ok) return [{ kind: 'store-failed', nowMs: 1 }];
    if ('config' in outcome) return [{ kind: 'config-loaded', nowMs: 1, config: outcome.config }];
    return [{ kind: 'patches-loaded', nowMs: 1, patches: outcome.patches }];
  };
  const processEvents = async (events: ConfigEvent[]): Promise<void> => {
    for (const event of events) {
      const { effects } = reduce(state, event);
      for (const effect of effects) events.push(...(await runEffect(effect)));
    }
  };

  const processing = processEvents([
    { kind: 'routers-changed', nowMs: 0, routersOfZone: ['r1'], routersInFleet: 1 },
  ]);
  for (let version = 0; version < 3; version += 1) {
    const account = { share: 1, services: [], keyHashes: [] };
    const patch = { accounts: { [`a${version}`]: account } };
    const request = { id: `p${version}`, baseVersion: version, patch, reason: 'test' };
    assert.ok((await operatorStore.commit(request)).ok);
    while (state.config.version < version + 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, 2);
      });
    }
  }
  aborter.abort();
  await processing;
  assert.deepEqual(versionsInForce, [1, 2, 3]);
});
