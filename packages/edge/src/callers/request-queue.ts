/**
 * Queue of received requests. The event loop accepts one connection per iteration, so requests are processed in short turns, between
 * which it polls all sockets again.
 */
import type { Clock } from '@kingcupsill/runtime';

/** Requests that wait to be processed. */
export interface RequestQueue {
  /** Adds a request. `process` is called after another poll at least, with the time in milliseconds that the request has waited. */
  add(process: (waitedMs: number) => void): void;
}

/** Time after which a turn starts no further request. */
const TURN_MS = 5;

interface WaitingRequest {
  process: (waitedMs: number) => void;
  addedAtMs: number;
}

/**
 * Creates an empty queue.
 * @param areConnectionsWaiting returns whether connections wait too long to be accepted; a turn then processes one request only
 * @param afterPoll calls back once the event loop has polled all sockets, in the order of the calls
 */
export function createRequestQueue(
  clock: Clock,
  areConnectionsWaiting: () => boolean,
  afterPoll: (callback: () => void) => void,
): RequestQueue {
  const waiting: WaitingRequest[] = [];
  let isTurnScheduled = false;

  function scheduleTurn(): void {
    if (isTurnScheduled || waiting.length === 0) return;
    isTurnScheduled = true;
    afterPoll(runTurn);
  }

  function runTurn(): void {
    isTurnScheduled = false;
    const endsAtMs = clock() + TURN_MS;
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      next.process(clock() - next.addedAtMs);
      if (clock() >= endsAtMs || areConnectionsWaiting()) break;
    }
    scheduleTurn();
  }

  return {
    add(process) {
      const request = { process, addedAtMs: clock() };
      afterPoll(() => {
        waiting.push(request);
        scheduleTurn();
      });
    },
  };
}
