import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createConfigStore } from '../../src/index.js';
import type { CommitOutcome, CommitRequest, ConfigStore } from '../../src/index.js';
import { createFaultyObjectStore } from '../support/faulty-object-store.js';
import type { InjectedFault } from '../support/faulty-object-store.js';

const OPERATORS = 4;
const PATCHES_EACH = 6;

const weighted = (weights: [InjectedFault, number][]): fc.Arbitrary<InjectedFault> =>
  fc.oneof(...weights.map(([fate, weight]) => ({ weight, arbitrary: fc.constant(fate) })));

const fatesArbitrary = fc.array(
  weighted([
    ['ok', 10],
    ['answer-lost', 2],
    ['request-lost', 2],
    ['late', 2],
    ['down', 2],
  ]),
  { minLength: 50, maxLength: 400 },
);

type Code = 'ok' | Extract<CommitOutcome, { ok: false }>['code'];

interface Offered {
  id: string;
  code: Code;
}

/** Offers a patch on the newest version, and offers it again as long as its fate is not known. */
const offer = async (store: ConfigStore, id: string): Promise<Offered> => {
  const loaded = await store.load();
  if (!loaded.ok) return { id, code: 'unavailable' };
  const patch = { accounts: { [id]: { share: 1, services: [], keyHashes: [] } } };
  const request: CommitRequest = { id, baseVersion: loaded.config.version, patch, reason: '' };
  let doubtful = false;
  for (;;) {
    const outcome = await store.commit(request);
    const code: Code = outcome.ok ? 'ok' : outcome.code;
    // After a doubtful outcome an outage leaves it as doubtful as before.
    if (code === 'unknown') doubtful = true;
    else if (code !== 'unavailable' || !doubtful) return { id, code };
  }
};

/** A client that meets no further faults. */
const createReader = (shared: ReturnType<typeof createFaultyObjectStore>) => {
  const objects = shared.open();
  return {
    ...objects,
    get: async (key: string) => {
      for (;;) {
        const got = await objects.get(key);
        if (got.ok || got.code === 'not-found') return got;
      }
    },
  };
};

test('of racing operators every accepted patch is in force once, and no other, whatever answers are lost', async () => {
  let accepted = 0;
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(fatesArbitrary, async (fates) => {
      const shared = createFaultyObjectStore(fates);
      const open = () =>
        createConfigStore({ objects: shared.open(), retryDelayMs: 0, writeAttempts: 2 });
      const operate = async (operator: number): Promise<Offered[]> => {
        const store = open();
        const offered: Offered[] = [];
        for (let patch = 0; patch < PATCHES_EACH; patch += 1) {
          offered.push(await offer(store, `p${operator}-${patch}`));
        }
        return offered;
      };
      const all = await Promise.all(
        Array.from({ length: OPERATORS }, (_, index) => operate(index)),
      );
      const idsWith = (codes: Code[]) =>
        all
          .flat()
          .filter(({ code }) => codes.includes(code))
          .map(({ id }) => id)
          .sort();

      const reader = createConfigStore({ objects: createReader(shared) });
      const loaded = await reader.load();
      assert.ok(loaded.ok);
      const history = await reader.history({ from: 1, to: loaded.config.version });
      assert.ok(history.ok);
      const logged = history.entries.map(({ id }) => id).sort();
      assert.equal(history.entries.length, loaded.config.version);
      assert.deepEqual(logged, idsWith(['ok', 'already-applied']));
      assert.deepEqual(Object.keys(loaded.config.accounts).sort(), logged);
      accepted += logged.length;
      refused += idsWith(['stale', 'unavailable']).length;
    }),
    { seed: 63, numRuns: 150 },
  );
  assert.ok(accepted > 500 && refused > 500, `${accepted} accepted, ${refused} refused`);
});
