/** Turns that many sources of work share, between which the event loop polls all sockets. */
import type { Clock } from '@kingcupsill/runtime';

/** Sources that wait for a turn. */
export interface Turns<TSource> {
  /** Adds a source behind the others, unless it waits already. */
  add(source: TSource): void;
}

/** Time after which a turn begins no further work. */
const TURN_MS = 3;

/**
 * @param work does a small part of a source's work, and adds the source again if there is more
 * @param share returns the share of the time that the work may take, above 0; all of it by default
 */
export function createTurns<TSource>(
  clock: Clock,
  work: (source: TSource) => void,
  share: () => number = () => 1,
): Turns<TSource> {
  const waiting = new Set<TSource>();
  let isScheduled = false;
  let restUntilMs = Number.NEGATIVE_INFINITY;

  function schedule(): void {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    const restMs = restUntilMs - clock();
    if (restMs > 0) setTimeout(run, restMs);
    else setImmediate(run);
  }

  function run(): void {
    const startedAtMs = clock();
    for (const source of waiting) {
      waiting.delete(source);
      work(source);
      if (clock() >= startedAtMs + TURN_MS) break;
    }
    const endedAtMs = clock();
    restUntilMs = endedAtMs + (endedAtMs - startedAtMs) * (1 / share() - 1);
    isScheduled = false;
    schedule();
  }

  return {
    add(source) {
      waiting.add(source);
      schedule();
    },
  };
}
