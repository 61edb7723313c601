/**
 * Heartbeat of one link. The dialling side pings, measures the round-trip time and tells it in its next ping; the accepting side pings only a
 * peer from which it hears nothing. Either side finds out when the other is gone.
 */
import type { WebSocket } from 'ws';
import type { Ticker } from './create-ticker.js';
import { checkHeartbeat } from './heartbeat.js';
import type { ResolvedOptions } from './options.js';
import type { TrafficCounters } from './create-traffic-counters.js';

/** Payload of a ping: the sender's time (8 bytes) and its round-trip time (4 bytes, NaN before the first measurement). */
const PING_BYTES = 12;
const PING_RTT_OFFSET = 8;
/** Weight of a new measurement in the smoothed round-trip time. */
const RTT_GAIN = 1 / 4;
/** Heartbeats without traffic after which the accepting side pings. */
const MAX_SILENT_HEARTBEATS = 1.5;

/** Options of a pinger. */
export interface PingerOptions {
  ws: WebSocket;
  traffic: TrafficCounters;
  timing: Pick<ResolvedOptions, 'heartbeatIntervalMs' | 'heartbeatTimeoutMs' | 'clock'>;
  ticker: Ticker;
  /** Whether this side dialled. */
  dialed: boolean;
  /** Round-trip time until the first measurement. */
  rttMs: number;
  onTimeout: () => void;
}

/** A running heartbeat. */
export interface Pinger {
  /** Tells that the peer sent something. */
  recordActivity(): void;
  rttMs(): number;
  close(): void;
}

/** Starts the heartbeat. */
export function createPinger(options: PingerOptions): Pinger {
  const { ws, traffic, timing: times, dialed, onTimeout: onDead } = options;
  const { clock, heartbeatIntervalMs, heartbeatTimeoutMs } = times;
  const startMs = clock();
  let state = { lastReceivedMs: startMs, lastCheckMs: startMs };
  let measuredMs = NaN;
  let { rttMs } = options;
  const removeBeat = options.ticker.add(beat);

  function heard(): void {
    state.lastReceivedMs = clock();
  }

  function ping(): void {
    if (ws.readyState !== ws.OPEN) return;
    const payload = Buffer.alloc(PING_BYTES);
    payload.writeDoubleBE(clock());
    payload.writeFloatBE(measuredMs, PING_RTT_OFFSET);
    traffic.countSentFrame(PING_BYTES);
    ws.ping(payload);
  }

  function beat(): void {
    const nowMs = clock();
    const checked = checkHeartbeat(state, nowMs, times);
    state = checked.state;
    const silentMs = nowMs - state.lastReceivedMs;
    if (checked.timedOut) onDead();
    else if (dialed || silentMs > MAX_SILENT_HEARTBEATS * heartbeatIntervalMs) ping();
  }

  function isPlausible(ms: number): boolean {
    return ms >= 0 && ms <= heartbeatTimeoutMs;
  }

  function onPing(payload: Buffer): void {
    heard();
    traffic.countReceivedFrame(payload.length);
    // ws sends the pong by itself.
    traffic.countSentFrame(payload.length);
    if (dialed || payload.length !== PING_BYTES) return;
    const toldMs = payload.readFloatBE(PING_RTT_OFFSET);
    if (isPlausible(toldMs)) rttMs = toldMs;
  }

  function onPong(payload: Buffer): void {
    heard();
    traffic.countReceivedFrame(payload.length);
    if (payload.length !== PING_BYTES) return;
    const ms = clock() - payload.readDoubleBE();
    if (!isPlausible(ms)) return;
    measuredMs = Number.isNaN(measuredMs) ? ms : measuredMs + (ms - measuredMs) * RTT_GAIN;
    rttMs = measuredMs;
  }

  ws.on('ping', onPing);
  ws.on('pong', onPong);
  if (dialed) ping();
  return { recordActivity: heard, rttMs: () => rttMs, close: removeBeat };
}
