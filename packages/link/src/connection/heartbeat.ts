/** Heartbeat timeout of a peer, based on the time of its last received traffic. */

/** Times of the last received traffic and the last check, in milliseconds. */
export interface HeartbeatState {
  lastReceivedMs: number;
  lastCheckMs: number;
}

/** Timing of a heartbeat. */
export interface HeartbeatOptions {
  /** Time between checks, in milliseconds. */
  heartbeatIntervalMs: number;
  /** Time without received traffic after which the peer is considered lost, in milliseconds. */
  heartbeatTimeoutMs: number;
}

/** Maximum time between two checks, in heartbeat intervals; a longer gap means that this process was paused. */
const MAX_CHECK_GAP_INTERVALS = 2;

/**
 * Checks the timeout; called once per heartbeat interval. A pause of this process restarts the timeout, because traffic from the peer
 * may be waiting unread.
 */
export function checkHeartbeat(
  state: HeartbeatState,
  nowMs: number,
  options: HeartbeatOptions,
): { state: HeartbeatState; timedOut: boolean } {
  const paused = nowMs - state.lastCheckMs > MAX_CHECK_GAP_INTERVALS * options.heartbeatIntervalMs;
  const lastReceivedMs = paused ? nowMs : state.lastReceivedMs;
  const timedOut = nowMs - lastReceivedMs > options.heartbeatTimeoutMs;
  return { state: { lastReceivedMs, lastCheckMs: nowMs }, timedOut };
}
