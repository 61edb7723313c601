import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createClaimSimulation } from './claim-simulation.js';
import type { ClaimSimulation, StepOutcome } from './claim-simulation.js';

type ActionKind = 'arrive' | 'step' | 'late' | 'finish' | 'kill' | 'restart' | 'advance' | 'age';

interface Action {
  kind: ActionKind;
  pick: number;
  stepOutcome: StepOutcome;
}

const actions: Record<ActionKind, (simulation: ClaimSimulation, action: Action) => void> = {
  arrive: (simulation) => {
    simulation.addRequest();
  },
  step: (simulation, { pick, stepOutcome }) => simulation.performPendingStep(pick, stepOutcome),
  late: (simulation) => simulation.applyLateWrite(),
  finish: (simulation) => simulation.finishExecution(),
  kill: (simulation, { pick }) => simulation.killRequest(pick),
  restart: (simulation, { pick }) => simulation.restartSidecar(pick),
  advance: (simulation) => simulation.advancePastGracePeriod(),
  age: (simulation) => simulation.ageJournals(),
};

const weighted = <T>(weights: [T, number][]): fc.Arbitrary<T> =>
  fc.oneof(...weights.map(([value, weight]) => ({ weight, arbitrary: fc.constant(value) })));

const scheduleArbitrary = (kinds: [ActionKind, number][]): fc.Arbitrary<Action[]> =>
  fc.array(
    fc.record(
      {
        kind: weighted(kinds),
        pick: fc.nat(50),
        stepOutcome: weighted<StepOutcome>([
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

const ACTION_WEIGHTS: [ActionKind, number][] = [
  ['arrive', 3],
  ['step', 20],
  ['late', 1],
  ['finish', 2],
  ['kill', 1],
  ['advance', 2],
];

const drainPendingSteps = (simulation: ClaimSimulation): void => {
  for (let rounds = 0; rounds < 10_000 && simulation.pendingCount() > 0; rounds += 1) {
    simulation.performPendingStep(0, 'ok');
    simulation.finishExecution();
  }
  assert.equal(
    simulation.pendingCount(),
    0,
    'effects are still pending after the maximum number of rounds',
  );
};

const RUN_COUNT = 4000;

test('despite lost responses, outages and failed routers, an operation runs at most once and a retry gets its response', () => {
  fc.assert(
    fc.property(scheduleArbitrary(ACTION_WEIGHTS), (schedule) => {
      const simulation = createClaimSimulation();
      schedule.forEach((action) => actions[action.kind](simulation, action));
      drainPendingSteps(simulation);
      simulation.advancePastGracePeriod();
      const last = simulation.addRequest();
      drainPendingSteps(simulation);
      // Reference behaviour: a single server that runs the operation once and stores its response.
      assert.equal(simulation.executions.length, 1);
      const gotResponse = last.outcome?.kind === 'answer';
      const executedNow = last.attempts.includes(simulation.executions[0]!.attempt);
      assert.ok(
        gotResponse || executedNow,
        `the last repeat ended in ${JSON.stringify(last.outcome)}`,
      );
    }),
    { seed: 51, numRuns: RUN_COUNT },
  );
});

test('if sidecars restart or drop journal entries, an operation runs at most once and a lost outcome is reported as unknown', () => {
  fc.assert(
    fc.property(scheduleArbitrary([...ACTION_WEIGHTS, ['restart', 1], ['age', 1]]), (schedule) => {
      const simulation = createClaimSimulation();
      schedule.forEach((action) => actions[action.kind](simulation, action));
      drainPendingSteps(simulation);
      simulation.advancePastGracePeriod();
      const last = simulation.addRequest();
      drainPendingSteps(simulation);
      assert.ok(simulation.executions.length <= 1);
      if (last.outcome?.kind !== 'refuse') return;
      assert.ok(simulation.mayHaveLostOutcome());
      assert.equal(last.outcome.ran, 'unknown');
    }),
    { seed: 52, numRuns: RUN_COUNT },
  );
});
