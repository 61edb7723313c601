/** Reading of the store's answers beside the requests: large entries of other writers take much processor time. */
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import type { RunSteps, Steps } from '@kingcupsill/prepared-platform';
import type { Clock } from '@kingcupsill/runtime';

/** Time after which a turn begins no further step. Nearly all answers are read in one turn. */
const TURN_MS = 3;
/** Share of the time that reading may take while requests are served. */
const SHARE = 0.3;

/**
 * Creates a reading in turns, between which the event loop polls all sockets. Answers that are read at the same time share the time.
 * @param isServing whether requests can be served; reading has all of the time while they can't
 */
export function createAnswerReading(clock: Clock, isServing: () => boolean): RunSteps {
  /** Time at which reading has again taken no more than its share. */
  let restedAtMs = Number.NEGATIVE_INFINITY;

  /** Does steps until the turn is over. Returns the value once the steps are done. */
  function runTurn<TValue>(steps: Steps<TValue>): { value: TValue } | undefined {
    const startedAtMs = clock();
    for (;;) {
      const step = steps.next();
      const takenMs = clock() - startedAtMs;
      if (step.done === true) return { value: step.value };
      if (takenMs >= TURN_MS) {
        restedAtMs = Math.max(restedAtMs, startedAtMs) + takenMs / SHARE;
        return undefined;
      }
    }
  }

  return async function readInTurns<TValue>(steps: Steps<TValue>): Promise<TValue> {
    for (;;) {
      const result = runTurn(steps);
      if (result !== undefined) return result.value;
      const restMs = isServing() ? restedAtMs - clock() : 0;
      await (restMs > 0 ? delay(restMs) : nextTurn());
    }
  };
}
