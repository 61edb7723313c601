/** Detects that the event loop can't keep up, as opposed to a single pause. */

/** Detector of sustained overload. */
export interface OverloadDetector {
  /** Records the lag of the event loop at one probe. */
  observe(lagMs: number, nowMs: number): void;
  isOverloaded(nowMs: number): boolean;
}

/**
 * Lag that counts as late. The event loop accepts one connection per iteration, so at this lag the connections that wait to be
 * accepted are given up by their callers before their turn.
 */
export const LATE_LAG_MS = 250;
/** Consecutive late probes that count as overload. A process that was paused sees only one. */
const LATE_PROBES = 3;
/** Time without overload after which the loop counts as keeping up; longer than two readiness checks. */
const HOLD_MS = 2500;

/** Creates a detector of an event loop that keeps up. */
export function createOverloadDetector(): OverloadDetector {
  let lateProbes = 0;
  let overloadedUntilMs = Number.NEGATIVE_INFINITY;
  return {
    observe(lagMs, nowMs) {
      lateProbes = lagMs >= LATE_LAG_MS ? lateProbes + 1 : 0;
      if (lateProbes >= LATE_PROBES) overloadedUntilMs = nowMs + HOLD_MS;
    },
    isOverloaded: (nowMs) => nowMs < overloadedUntilMs,
  };
}
