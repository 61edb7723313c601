/** Turns that many sources of work share, between which the event loop polls all sockets. */
import type { Clock } from '@kingcupsill/runtime';

/** Sources that wait for a turn. */
export interface Turns<TSource> {
  /** Adds a source behind the others, unless it waits already. */
  add(source: TSource): void;
}

/** Time after which a turn begins no further work. */
const TURN_MS = 3;

/** @param work does a small part of a source's work, and adds the source again if there is more */
export function createTurns<TSource>(
  clock: Clock,
  work: (source: TSource) => void,
): Turns<TSource> {
  const waiting = new Set<TSource>();
  let isScheduled = false;

  function schedule(): void {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    setImmediate(run);
  }

  function run(): void {
    isScheduled = false;
    const endsAtMs = clock() + TURN_MS;
    for (const source of waiting) {
      waiting.delete(source);
      work(source);
      if (clock() >= endsAtMs) break;
    }
    schedule();
  }

  return {
    add(source) {
      waiting.add(source);
      schedule();
    },
  };
}
