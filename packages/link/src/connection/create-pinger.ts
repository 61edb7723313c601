/**
 * Heartbeat of one link. The dialing side pings at each interval, measures the round-trip time and reports it in its next ping. The
 * accepting side pings only an idle peer. Both sides detect a lost peer by the absence of traffic.
 */
import type { WebSocket } from 'ws';
import type { Ticker } from './create-ticker.js';
import { checkHeartbeat } from './heartbeat.js';
import type { ResolvedOptions } from './options.js';
import type { TrafficCounters } from './create-traffic-counters.js';

/** Payload of a ping: the sender's clock (8 bytes) and its round-trip time (4 bytes; NaN before the first sample), in milliseconds. */
const PING_BYTES = 12;
const PING_RTT_OFFSET = 8;
/** Weight of a new sample in the exponentially smoothed round-trip time. */
const RTT_SMOOTHING_FACTOR = 1 / 4;
/** Number of heartbeat intervals without received traffic after which the accepting side pings. */
const MAX_IDLE_INTERVALS = 1.5;

/** Options of a pinger. */
export interface PingerOptions {
  ws: WebSocket;
  counters: TrafficCounters;
  timing: Pick<ResolvedOptions, 'heartbeatIntervalMs' | 'heartbeatTimeoutMs' | 'clock'>;
  ticker: Ticker;
  /** Whether this process dialed the link. */
  isDialer: boolean;
  /** Initial round-trip time, in milliseconds. */
  rttMs: number;
  onTimeout: () => void;
}

/** Heartbeat of one link. */
export interface Pinger {
  /** Records that traffic from the peer was received. */
  recordActivity(): void;
  /** Round-trip time in milliseconds: smoothed by the dialing side, as last reported on the accepting side. */
  rttMs(): number;
  close(): void;
}

/** Starts the heartbeat. */
export function createPinger(options: PingerOptions): Pinger {
  const { ws, counters, timing, isDialer, onTimeout } = options;
  const { clock, heartbeatIntervalMs, heartbeatTimeoutMs } = timing;
  const startMs = clock();
  let state = { lastReceivedMs: startMs, lastCheckMs: startMs };
  let smoothedMs = NaN;
  let { rttMs } = options;
  const stopTicking = options.ticker.add(checkPeer);

  function recordActivity(): void {
    state.lastReceivedMs = clock();
  }

  function ping(): void {
    if (ws.readyState !== ws.OPEN) return;
    const payload = Buffer.alloc(PING_BYTES);
    payload.writeDoubleBE(clock());
    payload.writeFloatBE(smoothedMs, PING_RTT_OFFSET);
    counters.countSentFrame(PING_BYTES);
    ws.ping(payload);
  }

  function checkPeer(): void {
    const nowMs = clock();
    const check = checkHeartbeat(state, nowMs, timing);
    state = check.state;
    const idleMs = nowMs - state.lastReceivedMs;
    if (check.timedOut) onTimeout();
    else if (isDialer || idleMs > MAX_IDLE_INTERVALS * heartbeatIntervalMs) ping();
  }

  function isPlausibleRtt(valueMs: number): boolean {
    return valueMs >= 0 && valueMs <= heartbeatTimeoutMs;
  }

  function onPing(payload: Buffer): void {
    recordActivity();
    counters.countReceivedFrame(payload.length);
    // The ws library responds with the pong.
    counters.countSentFrame(payload.length);
    if (isDialer || payload.length !== PING_BYTES) return;
    const reportedRttMs = payload.readFloatBE(PING_RTT_OFFSET);
    if (isPlausibleRtt(reportedRttMs)) rttMs = reportedRttMs;
  }

  function onPong(payload: Buffer): void {
    recordActivity();
    counters.countReceivedFrame(payload.length);
    if (payload.length !== PING_BYTES) return;
    const sampleMs = clock() - payload.readDoubleBE();
    if (!isPlausibleRtt(sampleMs)) return;
    smoothedMs = Number.isNaN(smoothedMs)
      ? sampleMs
      : smoothedMs + (sampleMs - smoothedMs) * RTT_SMOOTHING_FACTOR;
    rttMs = smoothedMs;
  }

  ws.on('ping', onPing);
  ws.on('pong', onPong);
  if (isDialer) ping();
  return { recordActivity, rttMs: () => rttMs, close: stopTicking };
}
