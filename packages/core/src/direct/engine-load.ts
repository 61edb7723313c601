/** Predicts when an engine would begin to answer a new request, from what this router and its peers have sent there. */
import { createLineFit } from './line-fit.js';
import type { Line } from './line-fit.js';
import { createPartCache } from './part-cache.js';
import type { PartCache } from './part-cache.js';

/** One request at a server, as the prediction knows it. */
export interface LoadTicket {
  sentAtMs: number;
  /** Prompt tokens that were ahead of it, its own included. */
  tokensAhead: number;
  /** Predicted time of the first event. */
  firstAtMs: number;
  begun: boolean;
}

/** Load of one backend server. */
export interface ServerLoad {
  parts: PartCache;
  /** Requests of this router that are running there. */
  ownRunning(): number;
  /** Requests of all routers that are running there, as far as known. */
  running(): number;
  /** Wait until prompt tokens that are sent now begin to be read. */
  waitMs(nowMs: number): number;
  msPerToken(): number;
  /** Time to a first event besides reading: a step of the batch and the way there and back. */
  baseMs(): number;
  /** Mean time a request stays. */
  meanStayMs(): number;
  send(nowMs: number, readTokens: number): LoadTicket;
  /** The first event or the whole answer came. */
  begin(ticket: LoadTicket, nowMs: number): void;
  end(ticket: LoadTicket, nowMs: number, whole: boolean): void;
  /** A peer's report: requests running there, and prompt tokens sent since its last report. */
  notePeer(peer: string, running: number, sentTokens: number, nowMs: number): void;
  forgetPeer(peer: string): void;
  /** Prompt tokens that this router has sent, ever. */
  sentTokens(): number;
}

/** Assumptions before anything has been observed. */
export interface ServerLoadOptions {
  /** What the servers of its service have shown so far. */
  pool: PoolSpeed;
  meanStayMs: number;
  memoryTokens: number;
}

/**
 * Time to a first event by the prompt tokens ahead of it: as configured, or shorter where the servers of the service have shown
 * that. Slower ones are found out one by one.
 */
export interface PoolSpeed {
  observe(tokensAhead: number, tookMs: number): void;
  line(): Line;
}

/** Fixed part of the time to a first event before anything is observed: a step of the batch and the way. */
const ASSUMED_BASE_MS = 25;
/** One server's speed stays within these factors of its service's, which counts as this many of its own observations at first. */
const OF_SERVER = { leastFactor: 0.4, mostFactor: 20, assumedWeight: 2 };
/**
 * The speed of a service stays within wide factors of what its configuration states: that is what all engines together are
 * meant to produce, and says little of one engine where they are many.
 */
const OF_POOL = { leastFactor: 0.01, mostFactor: 20, assumedWeight: 1 };
/** An observation counts for at most this many times what the service's line says: one server that hangs says little of the others. */
const MOST_OF_POOL = 3;
/** Part of a prediction's error by which the backlog is corrected. */
const CORRECTION = 0.4;
const STAY_GAIN = 0.1;
/** Part of an engine's memory that kept parts may use beside running requests. */
const KEPT_PART = 0.7;

/**
 * Speed assumed at first where the configured one is slower, in milliseconds a token: an engine that is believed too fast is
 * found out by its first answer, one that is believed too slow gets no work that could show it.
 */
const SLOWEST_ASSUMED = 0.03;

/** Creates the speed of a service of which only the configured speed is known. */
export function createPoolSpeed(msPerToken: number): PoolSpeed {
  const assumed = { slope: Math.min(msPerToken, SLOWEST_ASSUMED), base: ASSUMED_BASE_MS };
  const fit = createLineFit({ ...OF_POOL, assumed: () => assumed });
  return {
    observe(tokensAhead, tookMs) {
      const { slope, base } = fit.line();
      fit.observe(tokensAhead, Math.min(tookMs, MOST_OF_POOL * (base + slope * tokensAhead)));
    },
    line: () => ({ ...assumed, slope: Math.min(msPerToken, fit.line().slope) }),
  };
}

/** Creates the load of a server that nothing is known of. */
export function createServerLoad(options: ServerLoadOptions): ServerLoad {
  const parts = createPartCache(options.memoryTokens * KEPT_PART);
  const peers = new Map<string, number>();
  let own = 0;
  let peersRunning = 0;
  let sent = 0;
  let freeAtMs = 0;
  let stayMs = options.meanStayMs;
  const fit = createLineFit({ ...OF_SERVER, assumed: options.pool.line });
  const msPerToken = (): number => fit.line().slope;
  const baseMs = (): number => fit.line().base;

  function addBacklog(nowMs: number, tokens: number): void {
    freeAtMs = Math.max(nowMs, freeAtMs) + tokens * msPerToken();
  }

  function waitMs(nowMs: number): number {
    return Math.max(0, freeAtMs - nowMs);
  }

  return {
    parts,
    ownRunning: () => own,
    running: () => own + peersRunning,
    waitMs,
    msPerToken,
    baseMs,
    meanStayMs: () => stayMs,
    send(nowMs, readTokens) {
      const tokensAhead = waitMs(nowMs) / msPerToken() + readTokens;
      addBacklog(nowMs, readTokens);
      own += 1;
      sent += readTokens;
      const firstAtMs = freeAtMs + baseMs();
      return { sentAtMs: nowMs, tokensAhead, firstAtMs, begun: false };
    },
    begin(ticket, nowMs) {
      if (ticket.begun) return;
      ticket.begun = true;
      const tookMs = nowMs - ticket.sentAtMs;
      options.pool.observe(ticket.tokensAhead, tookMs);
      fit.observe(ticket.tokensAhead, tookMs);
      freeAtMs += CORRECTION * (nowMs - ticket.firstAtMs);
    },
    end(ticket, nowMs, whole) {
      own -= 1;
      if (whole) stayMs += STAY_GAIN * (nowMs - ticket.sentAtMs - stayMs);
    },
    notePeer(peer, running, sentTokens, nowMs) {
      peersRunning += running - (peers.get(peer) ?? 0);
      peers.set(peer, running);
      if (sentTokens > 0) addBacklog(nowMs, sentTokens);
    },
    forgetPeer(peer) {
      peersRunning -= peers.get(peer) ?? 0;
      peers.delete(peer);
    },
    sentTokens: () => sent,
  };
}
