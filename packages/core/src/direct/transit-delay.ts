/**
 * Delay of the messages on one link, whose ends have unrelated monotonic clocks. As in LEDBAT (RFC 6817), the fastest message of the
 * last periods states the difference of the clocks; how much longer others take is their delay. Renewing it covers clocks that drift.
 */
const BASE_PERIOD_MS = 30_000;

/** Delays of one link. */
export interface TransitDelay {
  /**
   * Records a message and returns by how much longer than the fastest recent one it has been on its way, in milliseconds.
   * @param sentAtMs by the clock of the sender
   * @param receivedAtMs by the clock of the receiver
   */
  record(sentAtMs: number, receivedAtMs: number): number;
}

/** Creates the delays of a link that has just been opened. */
export function createTransitDelay(): TransitDelay {
  let periodStartMs: number | undefined;
  let lowestMs = Number.POSITIVE_INFINITY;
  let lowestBeforeMs = Number.POSITIVE_INFINITY;

  return {
    record(sentAtMs, receivedAtMs) {
      periodStartMs ??= receivedAtMs;
      if (receivedAtMs - periodStartMs >= BASE_PERIOD_MS) {
        periodStartMs = receivedAtMs;
        lowestBeforeMs = lowestMs;
        lowestMs = Number.POSITIVE_INFINITY;
      }
      const differenceMs = receivedAtMs - sentAtMs;
      lowestMs = Math.min(lowestMs, differenceMs);
      return differenceMs - Math.min(lowestMs, lowestBeforeMs);
    },
  };
}
