/** Decides from the time of the last traffic whether a peer is gone. */

/** What is known about the peer's traffic. */
export interface HeartbeatState {
  lastReceivedMs: number;
  lastCheckMs: number;
}

/** Times of a heartbeat. */
export interface HeartbeatOptions {
  /** Time between checks. */
  heartbeatIntervalMs: number;
  /** Silence after which the peer counts as gone. */
  heartbeatTimeoutMs: number;
}

/** Checks that may lie between two that count; a longer gap means that this process was paused. */
const MAX_CHECK_GAP = 2;

/**
 * Checks once per heartbeat. After a pause of this process the peer's silence says nothing, as its traffic may wait unread:
 * the time starts anew.
 */
export function checkHeartbeat(
  state: HeartbeatState,
  nowMs: number,
  options: HeartbeatOptions,
): { state: HeartbeatState; timedOut: boolean } {
  const paused = nowMs - state.lastCheckMs > MAX_CHECK_GAP * options.heartbeatIntervalMs;
  const lastReceivedMs = paused ? nowMs : state.lastReceivedMs;
  const timedOut = nowMs - lastReceivedMs > options.heartbeatTimeoutMs;
  return { state: { lastReceivedMs, lastCheckMs: nowMs }, timedOut };
}
