/** Decides from the time of the last traffic whether a peer is gone. */

/** What is known about the peer's traffic. */
export interface HeartbeatState {
  lastHeardMs: number;
  lastCheckMs: number;
}

/** Times of a heartbeat. */
export interface HeartbeatOptions {
  /** Time between checks. */
  heartbeatMs: number;
  /** Silence after which the peer counts as gone. */
  deadAfterMs: number;
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
): { state: HeartbeatState; dead: boolean } {
  const paused = nowMs - state.lastCheckMs > MAX_CHECK_GAP * options.heartbeatMs;
  const lastHeardMs = paused ? nowMs : state.lastHeardMs;
  const dead = nowMs - lastHeardMs > options.deadAfterMs;
  return { state: { lastHeardMs, lastCheckMs: nowMs }, dead };
}
