import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createClaimWorld } from './claim-world.js';
import type { ClaimWorld, Fate } from './claim-world.js';

type ActionKind = 'arrive' | 'step' | 'late' | 'finish' | 'kill' | 'restart' | 'advance' | 'age';

interface Action {
  kind: ActionKind;
  pick: number;
  fate: Fate;
}

const actions: Record<ActionKind, (world: ClaimWorld, action: Action) => void> = {
  arrive: (world) => {
    world.arrive();
  },
  step: (world, { pick, fate }) => world.step(pick, fate),
  late: (world) => world.applyLateWrite(),
  finish: (world) => world.finishRun(),
  kill: (world, { pick }) => world.kill(pick),
  restart: (world, { pick }) => world.restartSidecar(pick),
  advance: (world) => world.advance(),
  age: (world) => world.age(),
};

const weighted = <T>(weights: [T, number][]): fc.Arbitrary<T> =>
  fc.oneof(...weights.map(([value, weight]) => ({ weight, arbitrary: fc.constant(value) })));

const schedule = (kinds: [ActionKind, number][]): fc.Arbitrary<Action[]> =>
  fc.array(
    fc.record(
      {
        kind: weighted(kinds),
        pick: fc.nat(50),
        fate: weighted<Fate>([
          ['ok', 8],
          ['answer-lost', 2],
          ['late', 1],
          ['failed', 1],
        ]),
      },
      { noNullPrototype: true },
    ),
    { minLength: 10, maxLength: 120 },
  );

const KINDS: [ActionKind, number][] = [
  ['arrive', 3],
  ['step', 20],
  ['late', 1],
  ['finish', 2],
  ['kill', 1],
  ['advance', 2],
];

const settle = (world: ClaimWorld): void => {
  for (let rounds = 0; rounds < 10_000 && world.pendingCount() > 0; rounds += 1) {
    world.step(0, 'ok');
    world.finishRun();
  }
  assert.equal(world.pendingCount(), 0, 'requests go on without end');
};

const RUNS = 4000;

test('with lost answers, outages and dead routers the operation runs at most once, and a repeat gets its answer', () => {
  fc.assert(
    fc.property(schedule(KINDS), (plan) => {
      const world = createClaimWorld();
      plan.forEach((action) => actions[action.kind](world, action));
      settle(world);
      world.advance();
      const last = world.arrive();
      settle(world);
      // The naive version: one place that runs the operation once and keeps its answer.
      assert.equal(world.runs.length, 1);
      const answered = last.outcome?.kind === 'answer';
      const ranNow = last.attempts.includes(world.runs[0]!.attempt);
      assert.ok(answered || ranNow, `the last repeat ended in ${JSON.stringify(last.outcome)}`);
    }),
    { seed: 51, numRuns: RUNS },
  );
});

test('with sidecars that restart or forget, it runs at most once and a lost outcome is said to be unknown', () => {
  fc.assert(
    fc.property(schedule([...KINDS, ['restart', 1], ['age', 1]]), (plan) => {
      const world = createClaimWorld();
      plan.forEach((action) => actions[action.kind](world, action));
      settle(world);
      world.advance();
      const last = world.arrive();
      settle(world);
      assert.ok(world.runs.length <= 1);
      if (last.outcome?.kind !== 'refuse') return;
      assert.ok(world.mayHaveForgotten());
      assert.equal(last.outcome.ran, 'unknown');
    }),
    { seed: 52, numRuns: RUNS },
  );
});
