import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createBatchState, reduceBatch } from '../../src/engine/batch-reducer.js';
import type { BatchEffect, BatchEvent, Sequence } from '../../src/engine/batch-types.js';
import type { BatchSettings } from '../../src/engine/types.js';

const SETTINGS: BatchSettings = {
  baseTokenMs: 10,
  perSequenceMs: 1,
  prefillTokenMs: 0.5,
  maxBatch: 4,
  kvTokensTotal: 1000,
  cacheBlocks: 4,
  blockTokens: 10,
};

const sequence = (runId: number, fields: Partial<Sequence> = {}): Sequence => ({
  runId,
  promptTokens: 0,
  answerTokens: 5,
  fingerprints: [],
  ...fields,
});

/** Creates a batch on a virtual clock that advances from step to step. */
const createHarness = (settings: Partial<BatchSettings> = {}) => {
  const state = createBatchState({ ...SETTINGS, ...settings });
  const log: { atMs: number; effect: BatchEffect }[] = [];
  let nowMs = 0;
  let nextStepMs: number | null = null;

  const send = (event: BatchEvent) => {
    reduceBatch(state, event).effects.forEach((effect) => {
      if (effect.kind === 'schedule-step') nextStepMs = effect.atMs;
      log.push({ atMs: nowMs, effect });
    });
  };
  const step = (): boolean => {
    if (nextStepMs === null) return false;
    nowMs = nextStepMs;
    nextStepMs = null;
    send({ kind: 'step-end', nowMs });
    return true;
  };

  const effectsOfKind = <Kind extends BatchEffect['kind']>(kind: Kind) =>
    log
      .filter(({ effect }) => effect.kind === kind)
      .map(({ atMs, effect }) => ({ ...(effect as Extract<BatchEffect, { kind: Kind }>), atMs }));

  return {
    state,
    step,
    runAll: () => {
      while (step());
    },
    arrive: (arrival: Sequence) => send({ kind: 'arrive', nowMs, sequence: arrival }),
    cancel: (runId: number) => send({ kind: 'cancel', nowMs, runId }),
    freeze: (durationMs: number) => send({ kind: 'freeze', nowMs, durationMs }),
    crash: () => send({ kind: 'crash', nowMs }),
    now: () => nowMs,
    effectsOfKind,
    runIds: (kind: 'started' | 'finished' | 'cancelled' | 'rejected') =>
      effectsOfKind(kind).map(({ runId }) => runId),
    cachedTokens: () => effectsOfKind('started').map(({ cachedTokens }) => cachedTokens),
  };
};

test('the step time grows with the number of sequences in the batch', () => {
  const finishedAtMs = (sequences: number) => {
    const batch = createHarness({ maxBatch: 8 });
    // All others arrive during the first step of the first sequence and join the batch at its end.
    for (let runId = 1; runId <= sequences; runId += 1) batch.arrive(sequence(runId));
    batch.runAll();
    return batch.effectsOfKind('finished').at(-1)?.atMs;
  };
  assert.equal(finishedAtMs(1), 5 * 11);
  assert.equal(finishedAtMs(2), 11 + 4 * 12 + 11);
  assert.equal(finishedAtMs(8), 11 + 4 * 18 + 17);
});

test('prefill time depends on uncached prompt tokens only', () => {
  const batch = createHarness();
  const prompt = { promptTokens: 20, fingerprints: ['a', 'ab'], answerTokens: 1 };
  batch.arrive(sequence(1, prompt));
  batch.runAll();
  assert.equal(batch.now(), 11 + 10);
  batch.arrive(sequence(2, prompt));
  batch.runAll();
  assert.equal(batch.now(), 21 + 11);
  assert.deepEqual(batch.cachedTokens(), [0, 20]);
});

test('the least recently used prompt blocks are evicted', () => {
  const batch = createHarness({ cacheBlocks: 2 });
  const runPrompt = (runId: number, fingerprint: string) => {
    batch.arrive(
      sequence(runId, { promptTokens: 10, fingerprints: [fingerprint], answerTokens: 1 }),
    );
    batch.runAll();
  };
  ['a', 'b', 'a', 'c', 'a', 'b'].forEach((fingerprint, index) => runPrompt(index + 1, fingerprint));
  assert.deepEqual(batch.cachedTokens(), [0, 0, 10, 0, 10, 0]);
  assert.deepEqual(
    batch.effectsOfKind('cache-change').map(({ change }) => `${change.kind} ${change.fingerprint}`),
    ['stored a', 'stored b', 'stored c', 'evicted b', 'stored b', 'evicted c'],
  );
});

test('requests that exceed the batch size or the free KV memory are queued in FIFO order', () => {
  const batch = createHarness({ kvTokensTotal: 100 });
  batch.arrive(sequence(1, { promptTokens: 60, answerTokens: 2 }));
  batch.arrive(sequence(2, { promptTokens: 60, answerTokens: 2 }));
  batch.arrive(sequence(3, { promptTokens: 10, answerTokens: 2 }));
  batch.step();
  // Request 3 would fit, but request 2 is ahead of it in the queue.
  assert.deepEqual(batch.runIds('started'), [1]);
  assert.equal(batch.state.queued.length, 2);
  batch.runAll();
  assert.deepEqual(batch.runIds('finished'), [1, 2, 3]);
  assert.equal(batch.state.kvTokensUsed, 0);
});

test('a request that exceeds the total KV memory is rejected', () => {
  const batch = createHarness({ kvTokensTotal: 100 });
  batch.arrive(sequence(1, { promptTokens: 99 }));
  assert.deepEqual(batch.runIds('rejected'), [1]);
  assert.equal(batch.state.queued.length, 0);
});

test('cancelling a request frees its batch slot and KV memory immediately', () => {
  const batch = createHarness({ maxBatch: 1 });
  batch.arrive(sequence(1, { answerTokens: 100 }));
  batch.arrive(sequence(2, { answerTokens: 1 }));
  batch.arrive(sequence(3, { answerTokens: 1 }));
  batch.cancel(1);
  batch.cancel(3);
  batch.cancel(3);
  batch.runAll();
  assert.deepEqual(batch.runIds('cancelled'), [1, 3]);
  assert.deepEqual(batch.runIds('finished'), [2]);
  assert.equal(batch.state.kvTokensUsed, 0);
});

test('a frozen batch completes no step until the freeze ends', () => {
  const batch = createHarness();
  batch.arrive(sequence(1, { answerTokens: 2 }));
  batch.freeze(500);
  batch.runAll();
  assert.deepEqual(
    batch.effectsOfKind('token').map(({ atMs }) => atMs),
    [500, 511],
  );
});

test('a crash discards all sequences and cached blocks, and the batch accepts new requests', () => {
  const batch = createHarness();
  batch.arrive(sequence(1, { fingerprints: ['a'], promptTokens: 10 }));
  batch.crash();
  batch.runAll();
  assert.equal(batch.effectsOfKind('token').length, 0);
  batch.arrive(sequence(2, { fingerprints: ['a'], promptTokens: 10, answerTokens: 1 }));
  batch.runAll();
  assert.deepEqual(batch.cachedTokens(), [0, 0]);
  assert.equal(batch.effectsOfKind('finished').length, 1);
});

test('limits hold for any sequence of events, and every request ends exactly once', () => {
  const action = fc.oneof(
    fc.record({
      kind: fc.constant('arrive' as const),
      promptTokens: fc.integer({ min: 0, max: 150 }),
      answerTokens: fc.integer({ min: 1, max: 12 }),
    }),
    fc.record({ kind: fc.constant('cancel' as const), runId: fc.integer({ min: 1, max: 30 }) }),
    fc.record({ kind: fc.constant('step' as const) }),
    fc.record({ kind: fc.constant('freeze' as const), durationMs: fc.nat(100) }),
  );
  fc.assert(
    fc.property(fc.array(action, { maxLength: 60 }), (actions) => {
      const batch = createHarness({ kvTokensTotal: 120, maxBatch: 3 });
      let arrived = 0;
      const checkLimits = () => {
        assert.ok(batch.state.running.length <= 3);
        assert.ok(batch.state.kvTokensUsed <= 120);
      };
      actions.forEach((entry) => {
        if (entry.kind === 'arrive') {
          arrived += 1;
          batch.arrive(sequence(arrived, entry));
        } else if (entry.kind === 'cancel') batch.cancel(entry.runId);
        else if (entry.kind === 'freeze') batch.freeze(entry.durationMs);
        else batch.step();
        checkLimits();
      });
      batch.runAll();
      const ended = (['finished', 'cancelled', 'rejected'] as const).flatMap(batch.runIds);
      const expected = Array.from({ length: arrived }, (_, index) => index + 1);
      assert.deepEqual(
        ended.sort((a, b) => a - b),
        expected,
      );
      assert.equal(batch.state.kvTokensUsed, 0);
    }),
    { seed: 5, numRuns: 300 },
  );
});
