/** Predicts when an engine will begin to answer a new request, from the requests that this router and its peers have sent to it. */
import { createLineFit } from '../line-fit.js';
import { createPrefixCacheEstimate } from './prefix-cache-estimate.js';
import type { PrefixCacheEstimate } from './prefix-cache-estimate.js';

/** Predicted start of the answer to a request that is in progress at a server. */
export interface RequestPrediction {
  sentAtMs: number;
  /** Prompt tokens to be processed before the first event, including the request's own. */
  queuedTokens: number;
  /** Prompt tokens that all routers had sent to the server up to and including this request. */
  sentTokensBefore: number;
  /** Predicted time of the first event. */
  firstEventAtMs: number;
  /** True once the first event or the answer has arrived. */
  hasBegun: boolean;
}

/** Estimated load of one backend server. */
export interface ServerLoad {
  prefixCache: PrefixCacheEstimate;
  /** Number of this router's requests in progress at the server. */
  ownRunning(): number;
  /** Number of all routers' requests in progress at the server, as of the last reports. */
  running(): number;
  /** Estimated time until the server starts to process a prompt that is sent now. */
  waitMs(nowMs: number): number;
  /** Estimated prefill time per prompt token. */
  msPerToken(): number;
  /** Estimated part of the time to the first event that doesn't depend on the prompt: a batch step and the network round trip. */
  fixedLatencyMs(): number;
  /** Mean time from sending a request to the end of its answer. */
  meanResidenceMs(): number;
  recordSend(nowMs: number, prefillTokens: number): RequestPrediction;
  /** Records the first event of a stream, or an answer. */
  recordFirstEvent(prediction: RequestPrediction, nowMs: number): void;
  /** Records the end of an attempt; only complete answers count towards the mean residence time. */
  recordEnd(prediction: RequestPrediction, nowMs: number, complete: boolean): void;
  /** Records a peer's requests in progress and the prompt tokens it has sent since its last report. */
  recordPeerReport(peer: string, running: number, sentTokens: number, nowMs: number): void;
  removePeer(peer: string): void;
  /** Total prompt tokens sent by this router. */
  sentTokens(): number;
}

/** Initial estimates, used until there are observations. */
export interface ServerLoadOptions {
  msPerToken: number;
  meanResidenceMs: number;
  kvCapacityTokens: number;
}

/** Initial estimate of the fixed latency: a batch step and the network round trip. */
const INITIAL_FIXED_LATENCY_MS = 25;
/** Bounds of the estimated prefill time per token, as factors of its initial estimate. */
const MAX_MS_PER_TOKEN_FACTOR = 20;
const MIN_MS_PER_TOKEN_FACTOR = 0.4;
/** Fraction of a prediction error by which the backlog is corrected. */
const BACKLOG_CORRECTION = 0.4;
/** Smoothing factor of the moving average of residence times. */
const RESIDENCE_SMOOTHING = 0.1;
/** Fraction of an engine's KV cache that is available to prefixes besides running requests. */
const PREFIX_CACHE_FRACTION = 0.7;

/** Creates the load of a server without observations. */
export function createServerLoad(options: ServerLoadOptions): ServerLoad {
  const prefixCache = createPrefixCacheEstimate(options.kvCapacityTokens * PREFIX_CACHE_FRACTION);
  const runningByPeer = new Map<string, number>();
  let ownRunning = 0;
  let peersRunning = 0;
  let ownSentTokens = 0;
  let allSentTokens = 0;
  let backlogEndMs = 0;
  let residenceMs = options.meanResidenceMs;
  const latencyFit = createLineFit({
    slope: options.msPerToken,
    base: INITIAL_FIXED_LATENCY_MS,
    minSlope: options.msPerToken * MIN_MS_PER_TOKEN_FACTOR,
    maxSlope: options.msPerToken * MAX_MS_PER_TOKEN_FACTOR,
  });

  function addBacklog(nowMs: number, tokens: number): void {
    allSentTokens += tokens;
    backlogEndMs = Math.max(nowMs, backlogEndMs) + tokens * latencyFit.slope();
  }

  /**
   * Returns how much later than estimated the backlog ends. An engine processes prompts in order, so at the first event of a request
   * only the prompts sent after it are left. The lateness of requests that waited for the same cause is not added up.
   */
  function backlogErrorMs(prediction: RequestPrediction, nowMs: number): number {
    if (prediction.sentTokensBefore === 0) return nowMs - prediction.firstEventAtMs;
    const remainingTokens = allSentTokens - prediction.sentTokensBefore;
    const startedAtMs = nowMs - latencyFit.base();
    return startedAtMs + remainingTokens * latencyFit.slope() - backlogEndMs;
  }

  function waitMs(nowMs: number): number {
    return Math.max(0, backlogEndMs - nowMs);
  }

  return {
    prefixCache,
    ownRunning: () => ownRunning,
    running: () => ownRunning + peersRunning,
    waitMs,
    msPerToken: latencyFit.slope,
    fixedLatencyMs: latencyFit.base,
    meanResidenceMs: () => residenceMs,
    recordSend(nowMs, prefillTokens) {
      const queuedTokens = waitMs(nowMs) / latencyFit.slope() + prefillTokens;
      addBacklog(nowMs, prefillTokens);
      ownRunning += 1;
      ownSentTokens += prefillTokens;
      const firstEventAtMs = backlogEndMs + latencyFit.base();
      const sentTokensBefore = allSentTokens;
      return { sentAtMs: nowMs, queuedTokens, sentTokensBefore, firstEventAtMs, hasBegun: false };
    },
    recordFirstEvent(prediction, nowMs) {
      if (prediction.hasBegun) return;
      prediction.hasBegun = true;
      latencyFit.observe(prediction.queuedTokens, nowMs - prediction.sentAtMs);
      backlogEndMs += BACKLOG_CORRECTION * backlogErrorMs(prediction, nowMs);
    },
    recordEnd(prediction, nowMs, complete) {
      ownRunning -= 1;
      if (complete)
        residenceMs += RESIDENCE_SMOOTHING * (nowMs - prediction.sentAtMs - residenceMs);
    },
    recordPeerReport(peer, running, sentTokens, nowMs) {
      peersRunning += running - (runningByPeer.get(peer) ?? 0);
      runningByPeer.set(peer, running);
      if (sentTokens > 0) addBacklog(nowMs, sentTokens);
    },
    removePeer(peer) {
      peersRunning -= runningByPeer.get(peer) ?? 0;
      runningByPeer.delete(peer);
    },
    sentTokens: () => ownSentTokens,
  };
}
