/** Reading of the store's answers beside the requests: large foreign entries take much processor time. */
import type { RunSteps } from '@kingcupsill/prepared-platform';
import type { Clock } from '@kingcupsill/runtime';
import { createTurns } from '../turns.js';

/** Share of the time that reading may take while requests are served. */
const SHARE = 0.3;

/**
 * Creates a reading in turns, which answers that are read at the same time share. Small answers are read at once.
 * @param isServing whether requests can be served; reading has all of the time while they can't
 */
export function createAnswerReading(clock: Clock, isServing: () => boolean): RunSteps {
  /** Each source does a step of its answer. */
  const turns = createTurns<() => void>(
    clock,
    (step) => step(),
    () => (isServing() ? SHARE : 1),
  );

  return (steps) =>
    new Promise((resolve, reject) => {
      function step(): void {
        try {
          const result = steps.next();
          if (result.done === true) resolve(result.value);
          else turns.add(step);
        } catch (err) {
          reject(err instanceof Error ? err : new Error(String(err)));
        }
      }
      step();
    });
}
