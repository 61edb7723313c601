/**
 * Estimated wait of connections that the kernel has established and the event loop hasn't accepted yet. An iteration accepts at most
 * one, so on a busy processor they wait while the loop itself is hardly late.
 */
import type { Clock } from '@kingcupsill/runtime';

/**
 * Maximum number of connections waiting to be accepted. The event loop accepts one per iteration, so with a longer queue on a busy
 * processor callers time out before their requests are read. Connections beyond the limit reach another router within a second.
 */
export const ACCEPT_QUEUE_CAPACITY = 50;

/** Monitor of one listener's queue. */
export interface AcceptQueue {
  /** Records an accepted connection. */
  recordAccepted(connection: object): void;
  /** Estimated time for which an accepted connection had waited, in milliseconds; 0 from the second question on. */
  takeWaitMs(connection: object): number;
  /** Estimated wait of the connection that is accepted next, in milliseconds; 0 if none waits. */
  waitMs(): number;
}

/**
 * Creates the monitor of a queue with room for `capacity` connections.
 * @param afterNextPoll calls back once the event loop has polled all sockets again
 */
export function createAcceptQueue(
  capacity: number,
  clock: Clock,
  afterNextPoll: (callback: () => void) => void,
): AcceptQueue {
  /** Time at which the queue was last empty, and the connections accepted since; 0 while it is empty. */
  let emptyAtMs = 0;
  let accepted = 0;
  const waitsMs = new WeakMap<object, number>();

  function waitMs(): number {
    if (accepted === 0) return 0;
    const waitingMs = clock() - emptyAtMs;
    return Math.min(waitingMs, (waitingMs / accepted) * capacity);
  }

  return {
    recordAccepted(connection) {
      if (accepted > 0) waitsMs.set(connection, waitMs());
      if (accepted === 0) emptyAtMs = clock();
      accepted += 1;
      const acceptedNow = accepted;
      afterNextPoll(() => {
        if (accepted === acceptedNow) accepted = 0;
      });
    },
    takeWaitMs(connection) {
      const waitedMs = waitsMs.get(connection) ?? 0;
      waitsMs.delete(connection);
      return waitedMs;
    },
    waitMs,
  };
}
