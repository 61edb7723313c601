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
  fc.oneof(...weights.map(([fault, weight]) => ({ weight, arbitrary: fc.constant(fault) })));

const faultsArbitrary = fc.array(
  weighted([
    ['ok', 10],
    ['answer-lost', 2],
    ['request-lost', 2],
    ['late', 2],
    ['down', 2],
  ]),
  { minLength: 50, maxLength: 400 },
);

type ResultCode = 'ok' | Extract<CommitOutcome, { ok: false }>['code'];

interface CommitResult {
  id: string;
  code: ResultCode;
}

/** Commits a patch on the newest version, and repeats the commit until its outcome is known. */
const commitUntilKnown = async (store: ConfigStore, id: string): Promise<CommitResult> => {
  const loaded = await store.load();
  if (!loaded.ok) return { id, code: 'unavailable' };
  const patch = { accounts: { [id]: { share: 1, services: [], keyHashes: [] } } };
  const request: CommitRequest = { id, baseVersion: loaded.config.version, patch, reason: '' };
  let mayBeAccepted = false;
  for (;;) {
    const outcome = await store.commit(request);
    const code: ResultCode = outcome.ok ? 'ok' : outcome.code;
    // After an unknown outcome, a failed repeat doesn't show whether the earlier write took effect.
    if (code === 'unknown') mayBeAccepted = true;
    else if (code !== 'unavailable' || !mayBeAccepted) return { id, code };
  }
};

/** Creates an object client whose reads are retried until they succeed. */
const createReliableClient = (shared: ReturnType<typeof createFaultyObjectStore>) => {
  const objects = shared.createClient();
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

test('concurrent commits apply each accepted patch exactly once and no other patch, despite lost requests and responses', async () => {
  let accepted = 0;
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(faultsArbitrary, async (faults) => {
      const shared = createFaultyObjectStore(faults);
      const createStore = () =>
        createConfigStore({ objects: shared.createClient(), retryDelayMs: 0, writeAttempts: 2 });
      const commitPatches = async (operator: number): Promise<CommitResult[]> => {
        const store = createStore();
        const results: CommitResult[] = [];
        for (let patch = 0; patch < PATCHES_EACH; patch += 1) {
          results.push(await commitUntilKnown(store, `p${operator}-${patch}`));
        }
        return results;
      };
      const resultsByOperator = await Promise.all(
        Array.from({ length: OPERATORS }, (_, index) => commitPatches(index)),
      );
      const idsWith = (codes: ResultCode[]) =>
        resultsByOperator
          .flat()
          .filter(({ code }) => codes.includes(code))
          .map(({ id }) => id)
          .sort();

      const reader = createConfigStore({ objects: createReliableClient(shared) });
      const loaded = await reader.load();
      assert.ok(loaded.ok);
      const history = await reader.history({ from: 1, to: loaded.config.version });
      assert.ok(history.ok);
      const loggedIds = history.entries.map(({ id }) => id).sort();
      assert.equal(history.entries.length, loaded.config.version);
      assert.deepEqual(loggedIds, idsWith(['ok', 'already-applied']));
      assert.deepEqual(Object.keys(loaded.config.accounts).sort(), loggedIds);
      accepted += loggedIds.length;
      refused += idsWith(['stale', 'unavailable']).length;
    }),
    { seed: 63, numRuns: 150 },
  );
  assert.ok(accepted > 500 && refused > 500, `${accepted} accepted, ${refused} refused`);
});
