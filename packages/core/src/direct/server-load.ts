/** Predicts when an engine would begin to answer a new request, from what this router and its peers have sent there. */
import { createLineFit } from './line-fit.js';
import { createPrefixCacheEstimate } from './prefix-cache-estimate.js';
import type { PrefixCacheEstimate } from './prefix-cache-estimate.js';

/** One request at a server, as the prediction knows it. */
export interface RequestPrediction {
  sentAtMs: number;
  /** Prompt tokens that were ahead of it, its own included. */
  queuedTokens: number;
  /** Predicted time of the first event. */
  firstEventAtMs: number;
  hasBegun: boolean;
}

/** Load of one backend server. */
export interface ServerLoad {
  prefixCache: PrefixCacheEstimate;
  /** Requests of this router that are running there. */
  ownRunning(): number;
  /** Requests of all routers that are running there, as far as known. */
  running(): number;
  /** Wait until prompt tokens that are sent now begin to be read. */
  waitMs(nowMs: number): number;
  msPerToken(): number;
  /** Time to a first event besides reading: a step of the batch and the way there and back. */
  fixedLatencyMs(): number;
  /** Mean time a request stays. */
  meanResidenceMs(): number;
  recordSend(nowMs: number, readTokens: number): RequestPrediction;
  /** The first event or the whole answer came. */
  recordFirstEvent(ticket: RequestPrediction, nowMs: number): void;
  recordEnd(ticket: RequestPrediction, nowMs: number, whole: boolean): void;
  /** A peer's report: requests running there, and prompt tokens sent since its last report. */
  recordPeerReport(peer: string, running: number, sentTokens: number, nowMs: number): void;
  removePeer(peer: string): void;
  /** Prompt tokens that this router has sent, ever. */
  sentTokens(): number;
}

/** Assumptions before anything has been observed. */
export interface ServerLoadOptions {
  msPerToken: number;
  meanResidenceMs: number;
  kvCapacityTokens: number;
}

/** Fixed part of the time to a first event before anything is observed: a step of the batch and the way. */
const ASSUMED_BASE_MS = 25;
/** A learned speed stays within these factors of the assumption. */
const SLOWEST = 20;
const FASTEST = 0.4;
/** Part of a prediction's error by which the backlog is corrected. */
const CORRECTION = 0.4;
const STAY_GAIN = 0.1;
/** Part of an engine's memory that kept parts may use beside running requests. */
const KEPT_PART = 0.7;

/** Creates the load of a server that nothing is known of. */
export function createServerLoad(options: ServerLoadOptions): ServerLoad {
  const parts = createPrefixCacheEstimate(options.kvCapacityTokens * KEPT_PART);
  const peers = new Map<string, number>();
  let own = 0;
  let peersRunning = 0;
  let sent = 0;
  let freeAtMs = 0;
  let stayMs = options.meanResidenceMs;
  const fit = createLineFit({
    slope: options.msPerToken,
    base: ASSUMED_BASE_MS,
    leastSlope: options.msPerToken * FASTEST,
    mostSlope: options.msPerToken * SLOWEST,
  });

  function addBacklog(nowMs: number, tokens: number): void {
    freeAtMs = Math.max(nowMs, freeAtMs) + tokens * fit.slope();
  }

  function waitMs(nowMs: number): number {
    return Math.max(0, freeAtMs - nowMs);
  }

  return {
    prefixCache: parts,
    ownRunning: () => own,
    running: () => own + peersRunning,
    waitMs,
    msPerToken: fit.slope,
    fixedLatencyMs: fit.base,
    meanResidenceMs: () => stayMs,
    recordSend(nowMs, readTokens) {
      const tokensAhead = waitMs(nowMs) / fit.slope() + readTokens;
      addBacklog(nowMs, readTokens);
      own += 1;
      sent += readTokens;
      const firstAtMs = freeAtMs + fit.base();
      return {
        sentAtMs: nowMs,
        queuedTokens: tokensAhead,
        firstEventAtMs: firstAtMs,
        hasBegun: false,
      };
    },
    recordFirstEvent(ticket, nowMs) {
      if (ticket.hasBegun) return;
      ticket.hasBegun = true;
      fit.observe(ticket.queuedTokens, nowMs - ticket.sentAtMs);
      freeAtMs += CORRECTION * (nowMs - ticket.firstEventAtMs);
    },
    recordEnd(ticket, nowMs, whole) {
      own -= 1;
      if (whole) stayMs += STAY_GAIN * (nowMs - ticket.sentAtMs - stayMs);
    },
    recordPeerReport(peer, running, sentTokens, nowMs) {
      peersRunning += running - (peers.get(peer) ?? 0);
      peers.set(peer, running);
      if (sentTokens > 0) addBacklog(nowMs, sentTokens);
    },
    removePeer(peer) {
      peersRunning -= peers.get(peer) ?? 0;
      peers.delete(peer);
    },
    sentTokens: () => sent,
  };
}
