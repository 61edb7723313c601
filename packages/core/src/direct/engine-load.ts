/** Predicts when an engine would begin to answer a new request, from what this router and its peers have sent there. */
import { createPartCache } from './part-cache.js';
import type { PartCache } from './part-cache.js';

/** One request at a server, as the prediction knows it. */
export interface LoadTicket {
  sentAtMs: number;
  /** Prompt tokens that the server reads for it. */
  readTokens: number;
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
  msPerToken: number;
  meanStayMs: number;
  memoryTokens: number;
}

/** Time that an answer takes besides reading the prompt: a step of the batch and the way. */
const FIRST_EVENT_BASE_MS = 25;
/** Weight of the initial assumption, in tokens that were read at that speed. */
const PRIOR_TOKENS = 20_000;
/** Part of the learned sums that each new observation replaces. */
const FORGET = 0.03;
/** Least tokens for an observation; below, fixed times hide the speed. */
const LEAST_OBSERVED_TOKENS = 800;
/** Part of a prediction's error by which the backlog is corrected. */
const CORRECTION = 0.4;
const STAY_GAIN = 0.1;
/** Part of an engine's memory that kept parts may use beside running requests. */
const KEPT_PART = 0.7;
/** A learned speed stays within these factors of the assumption. */
const SLOWEST = 20;
const FASTEST = 0.4;

/** Creates the load of a server that nothing is known of. */
export function createServerLoad(options: ServerLoadOptions): ServerLoad {
  const parts = createPartCache(options.memoryTokens * KEPT_PART);
  const peers = new Map<string, number>();
  let own = 0;
  let peersRunning = 0;
  let sent = 0;
  let freeAtMs = 0;
  let stayMs = options.meanStayMs;
  let seenTokens = PRIOR_TOKENS;
  let seenMs = PRIOR_TOKENS * options.msPerToken;
  let perToken = options.msPerToken;

  function learn(ticket: LoadTicket, tookMs: number): void {
    if (ticket.tokensAhead < LEAST_OBSERVED_TOKENS) return;
    seenTokens = seenTokens * (1 - FORGET) + ticket.tokensAhead;
    seenMs = seenMs * (1 - FORGET) + Math.max(0, tookMs - FIRST_EVENT_BASE_MS);
    const least = options.msPerToken * FASTEST;
    perToken = Math.min(options.msPerToken * SLOWEST, Math.max(least, seenMs / seenTokens));
  }

  function addBacklog(nowMs: number, tokens: number): void {
    freeAtMs = Math.max(nowMs, freeAtMs) + tokens * perToken;
  }

  function waitMs(nowMs: number): number {
    return Math.max(0, freeAtMs - nowMs);
  }

  return {
    parts,
    ownRunning: () => own,
    running: () => own + peersRunning,
    waitMs,
    msPerToken: () => perToken,
    meanStayMs: () => stayMs,
    send(nowMs, readTokens) {
      const tokensAhead = waitMs(nowMs) / perToken + readTokens;
      addBacklog(nowMs, readTokens);
      own += 1;
      sent += readTokens;
      const firstAtMs = freeAtMs + FIRST_EVENT_BASE_MS;
      return { sentAtMs: nowMs, readTokens, tokensAhead, firstAtMs, begun: false };
    },
    begin(ticket, nowMs) {
      if (ticket.begun) return;
      ticket.begun = true;
      learn(ticket, nowMs - ticket.sentAtMs);
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
