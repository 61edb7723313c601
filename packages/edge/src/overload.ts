/** Detects that the event loop can't keep up, as opposed to a single pause: it stays late, or connections aren't accepted in time. */

/** Detector of sustained overload. */
export interface OverloadDetector {
  /** Records at one probe the lag of the event loop and the wait of connections that it hasn't accepted yet. */
  observe(lagMs: number, nowMs: number, acceptWaitMs?: number): void;
  isOverloaded(nowMs: number): boolean;
}

/**
 * Lag, and wait of connections, that counts as late. The event loop accepts one connection per iteration, so at this lag the connections
 * that wait to be accepted are given up by their callers before their turn.
 */
export const LATE_LAG_MS = 250;
/**
 * Time for which connections must wait too long in a row. Early refusals usually empty the queue sooner; a router that leaves the
 * rotation for each short queue leaves its processor idle, and its callers to its neighbours.
 */
const LATE_ACCEPTS_MS = 250;
/** Consecutive late probes that count as overload. A process that was paused sees only one. */
const LATE_PROBES = 3;
/** Time without overload after which the loop counts as keeping up; longer than two readiness checks. */
const HOLD_MS = 2500;

/** Creates a detector of an event loop that keeps up. */
export function createOverloadDetector(): OverloadDetector {
  let lateProbes = 0;
  /** Time since which connections have waited too long at each probe. */
  let acceptsLateSinceMs = Number.POSITIVE_INFINITY;
  let overloadedUntilMs = Number.NEGATIVE_INFINITY;
  return {
    observe(lagMs, nowMs, acceptWaitMs = 0) {
      lateProbes = lagMs >= LATE_LAG_MS ? lateProbes + 1 : 0;
      acceptsLateSinceMs =
        acceptWaitMs >= LATE_LAG_MS
          ? Math.min(acceptsLateSinceMs, nowMs)
          : Number.POSITIVE_INFINITY;
      const areAcceptsLate = nowMs - acceptsLateSinceMs >= LATE_ACCEPTS_MS;
      if (lateProbes >= LATE_PROBES || areAcceptsLate) overloadedUntilMs = nowMs + HOLD_MS;
    },
    isOverloaded: (nowMs) => nowMs < overloadedUntilMs,
  };
}
