/** Predicts when an engine will begin to answer a new request, from the requests that this router and its peers have sent to it. */
import { createBacklog } from './backlog.js';
import type { Backlog, ObservedStart, RequestPrediction } from './backlog.js';
import { createPrefixCacheEstimate } from './prefix-cache-estimate.js';
import type { PrefixCacheEstimate } from './prefix-cache-estimate.js';

/** Estimated load of one backend server. */
export interface ServerLoad extends Pick<
  Backlog,
  'waitMs' | 'msPerToken' | 'fixedLatencyMs' | 'recordPeerStart'
> {
  prefixCache: PrefixCacheEstimate;
  /** Number of this router's requests in progress at the server. */
  ownRunning(): number;
  /** Number of all routers' requests in progress at the server, as of the last reports. */
  running(): number;
  /** Mean time from sending a request to the end of its answer. */
  meanResidenceMs(): number;
  recordSend(nowMs: number, prefillTokens: number): RequestPrediction;
  /** Records the first event of a stream, or an answer. */
  recordFirstEvent(prediction: RequestPrediction, nowMs: number): void;
  /** Records the end of an attempt; only complete answers count towards the mean residence time. */
  recordEnd(prediction: RequestPrediction, nowMs: number, complete: boolean): void;
  /** Records a peer's requests in progress and the prompt tokens it has sent since its last report. */
  recordPeerReport(peer: string, running: number, sentTokens: number, nowMs: number): void;
  /** Removes and returns the latest start of an answer to this router since the last call. */
  takeObservedStart(): ObservedStart | undefined;
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

/** Smoothing factor of the moving average of residence times. */
const RESIDENCE_SMOOTHING = 0.1;
/** Fraction of an engine's KV cache that is available to prefixes besides running requests. */
const PREFIX_CACHE_FRACTION = 0.7;

/** Creates the load of a server without observations. */
export function createServerLoad(options: ServerLoadOptions): ServerLoad {
  const prefixCache = createPrefixCacheEstimate(options.kvCapacityTokens * PREFIX_CACHE_FRACTION);
  const backlog = createBacklog(options.msPerToken);
  const runningByPeer = new Map<string, number>();
  let ownRunning = 0;
  let peersRunning = 0;
  let ownSentTokens = 0;
  let observedStart: ObservedStart | undefined;
  let residenceMs = options.meanResidenceMs;

  return {
    prefixCache,
    ownRunning: () => ownRunning,
    running: () => ownRunning + peersRunning,
    waitMs: backlog.waitMs,
    msPerToken: backlog.msPerToken,
    fixedLatencyMs: backlog.fixedLatencyMs,
    meanResidenceMs: () => residenceMs,
    recordSend(nowMs, prefillTokens) {
      ownRunning += 1;
      ownSentTokens += prefillTokens;
      return backlog.recordSend(nowMs, prefillTokens);
    },
    recordFirstEvent(prediction, nowMs) {
      if (prediction.hasBegun) return;
      prediction.hasBegun = true;
      backlog.recordStart(prediction, nowMs);
      observedStart = { sentAtMs: prediction.sentAtMs, begunAtMs: nowMs };
    },
    recordEnd(prediction, nowMs, complete) {
      ownRunning -= 1;
      if (complete)
        residenceMs += RESIDENCE_SMOOTHING * (nowMs - prediction.sentAtMs - residenceMs);
    },
    recordPeerReport(peer, running, sentTokens, nowMs) {
      peersRunning += running - (runningByPeer.get(peer) ?? 0);
      runningByPeer.set(peer, running);
      if (sentTokens > 0) backlog.recordPeerSends(nowMs, sentTokens);
    },
    recordPeerStart: backlog.recordPeerStart,
    takeObservedStart() {
      const taken = observedStart;
      observedStart = undefined;
      return taken;
    },
    removePeer(peer) {
      peersRunning -= runningByPeer.get(peer) ?? 0;
      runningByPeer.delete(peer);
    },
    sentTokens: () => ownSentTokens,
  };
}
