/** Heartbeat of one link: pings that carry a time, round-trip time, and detection of a silent peer. */
import type { WebSocket } from 'ws';
import { checkHeartbeat } from './heartbeat.js';
import type { ResolvedOptions } from './options.js';
import type { Traffic } from './traffic.js';

const PING_BYTES = 8;
/** Weight of a new measurement in the smoothed round-trip time. */
const RTT_GAIN = 1 / 8;

/** Options of a pinger. */
export interface PingerOptions {
  ws: WebSocket;
  traffic: Traffic;
  times: Pick<ResolvedOptions, 'heartbeatMs' | 'deadAfterMs' | 'clock'>;
  /** First value of the round-trip time. */
  rttMs: number;
  onDead: () => void;
}

/** A running heartbeat. */
export interface Pinger {
  /** Tells that the peer sent something. */
  heard(): void;
  rttMs(): number;
  close(): void;
}

/** Starts the heartbeat. */
export function createPinger(options: PingerOptions): Pinger {
  const { ws, traffic, times, onDead } = options;
  const { clock, deadAfterMs } = times;
  let { rttMs } = options;
  let state = { lastHeardMs: clock(), lastCheckMs: clock() };
  const timer = setInterval(beat, times.heartbeatMs);

  function heard(): void {
    state.lastHeardMs = clock();
  }

  function ping(): void {
    if (ws.readyState !== ws.OPEN) return;
    const payload = Buffer.alloc(PING_BYTES);
    payload.writeDoubleBE(clock());
    traffic.sentFrame(PING_BYTES);
    ws.ping(payload);
  }

  function beat(): void {
    const checked = checkHeartbeat(state, clock(), times);
    state = checked.state;
    if (checked.dead) onDead();
    else ping();
  }

  function onPing(payload: Buffer): void {
    heard();
    traffic.receivedFrame(payload.length);
    // ws sends the pong by itself.
    traffic.sentFrame(payload.length);
  }

  function onPong(payload: Buffer): void {
    heard();
    traffic.receivedFrame(payload.length);
    if (payload.length !== PING_BYTES) return;
    const measuredMs = clock() - payload.readDoubleBE();
    if (measuredMs >= 0 && measuredMs <= deadAfterMs) rttMs += (measuredMs - rttMs) * RTT_GAIN;
  }

  ws.on('ping', onPing);
  ws.on('pong', onPong);
  return { heard, rttMs: () => rttMs, close: () => clearInterval(timer) };
}
