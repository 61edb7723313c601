/** Estimate of an engine's backlog of prompt tokens, from what all routers send to it and from when its answers begin. */
import { createBusySpans } from './busy-spans.js';
import { createThroughput } from './throughput.js';
import { createSentTokens } from './sent-tokens.js';

/** Predicted start of the answer to a request that is in progress at a server. */
export interface RequestPrediction {
  sentAtMs: number;
  /** Prompt tokens of the request that the server has to process. */
  prefillTokens: number;
  /** Estimated wait when the request was sent. */
  waitMs: number;
  /** Prompt tokens that all routers had sent to the server up to and including this request. */
  sentTokensBefore: number;
  /** Predicted time of the first event. */
  firstEventAtMs: number;
  /** True once the first event or the answer has arrived. */
  hasBegun: boolean;
}

/** Start of an answer that a router has observed; it shows how much of what was sent before has been processed. */
export interface ObservedStart {
  /** Time at which the request was sent. */
  sentAtMs: number;
  /** Time of the first event. */
  begunAtMs: number;
}

/** Estimated backlog of one engine. */
export interface Backlog {
  /** Estimated time until the engine starts to process a prompt that is sent now. */
  waitMs(nowMs: number): number;
  /** Estimated prefill time per prompt token. */
  msPerToken(): number;
  /** Estimated part of the time to the first event that doesn't depend on the prompt: a batch step and the network round trip. */
  fixedLatencyMs(): number;
  /** Records a request of this router. */
  recordSend(nowMs: number, prefillTokens: number): RequestPrediction;
  /** Records tokens that peers have sent. */
  recordPeerSends(nowMs: number, tokens: number): void;
  /** Records the first event of a stream, or an answer, to a request of this router. */
  recordStart(prediction: RequestPrediction, nowMs: number): void;
  /**
   * Records the start of an answer to a peer's request. All its times are later than the true ones by what its report took, and so are
   * those of what peers have sent.
   */
  recordPeerStart(start: ObservedStart): void;
}

/** Initial estimate of the fixed latency: a batch step and the network round trip. */
const INITIAL_FIXED_LATENCY_MS = 25;
/** Limit on that estimate: what answers take beyond it is a wait, whose end the next answers show. */
const MAX_FIXED_LATENCY_MS = 200;
/** Smoothing factors of that estimate: only a wait that wasn't foreseen makes an answer late, so it follows early ones. */
const EARLIER_SMOOTHING = 0.1;
const LATER_SMOOTHING = 0.03;
/** Fraction of a prediction error by which the backlog is corrected. */
const BACKLOG_CORRECTION = 0.4;
/** Time by which the report of a sent prompt may be later than usual, relative to that of the start of its answer. */
const REPORT_JITTER_MS = 30;

/** Creates the empty backlog of an engine that has answered nothing. */
export function createBacklog(initialMsPerToken: number): Backlog {
  const sent = createSentTokens();
  /** Apart, since a peer's starts are known later than the own. */
  const ownSpans = createBusySpans();
  const peerSpans = createBusySpans();
  const throughput = createThroughput(initialMsPerToken);
  let endMs = 0;
  let fixedLatencyMs = INITIAL_FIXED_LATENCY_MS;

  function waitMs(nowMs: number): number {
    return Math.max(0, endMs - nowMs);
  }

  function observeLatency(prediction: RequestPrediction, nowMs: number): void {
    const processingMs = prediction.prefillTokens * throughput.msPerToken();
    const latencyMs = nowMs - prediction.sentAtMs - prediction.waitMs - processingMs;
    const errorMs = Math.min(MAX_FIXED_LATENCY_MS, Math.max(0, latencyMs)) - fixedLatencyMs;
    fixedLatencyMs += errorMs * (errorMs < 0 ? EARLIER_SMOOTHING : LATER_SMOOTHING);
  }

  function add(nowMs: number, tokens: number): void {
    sent.add(nowMs, tokens);
    endMs = Math.max(nowMs, endMs) + tokens * throughput.msPerToken();
  }

  /**
   * Corrects the estimated end. An engine processes prompts in order, so at the start of an answer only the prompts sent after its own
   * are left. The lateness of requests that waited for the same cause is not added up.
   */
  function correct(begunAtMs: number, tokensSentAfter: number): void {
    const startedAtMs = begunAtMs - fixedLatencyMs;
    const observedEndMs = startedAtMs + tokensSentAfter * throughput.msPerToken();
    endMs += BACKLOG_CORRECTION * (observedEndMs - endMs);
  }

  return {
    waitMs,
    msPerToken: throughput.msPerToken,
    fixedLatencyMs: () => fixedLatencyMs,
    recordSend(nowMs, prefillTokens) {
      const prediction = { sentAtMs: nowMs, prefillTokens, waitMs: waitMs(nowMs), hasBegun: false };
      add(nowMs, prefillTokens);
      const firstEventAtMs = endMs + fixedLatencyMs;
      return { ...prediction, sentTokensBefore: sent.total(), firstEventAtMs };
    },
    recordPeerSends: add,
    recordStart(prediction, nowMs) {
      const { sentAtMs, sentTokensBefore, firstEventAtMs } = prediction;
      observeLatency(prediction, nowMs);
      const span = ownSpans.record({ sentAtMs, begunAtMs: nowMs, position: sentTokensBefore });
      if (span !== undefined) throughput.observe(span);
      // Without prompts the end is only that of the request before.
      if (sentTokensBefore === 0) endMs += BACKLOG_CORRECTION * (nowMs - firstEventAtMs);
      else correct(nowMs, sent.total() - sentTokensBefore);
    },
    recordPeerStart({ sentAtMs, begunAtMs }) {
      if (sent.total() === 0) return;
      const tokensSentAfter = sent.since(sentAtMs + REPORT_JITTER_MS);
      const position = sent.total() - tokensSentAfter;
      const span = peerSpans.record({ sentAtMs, begunAtMs, position });
      if (span !== undefined) throughput.observe(span);
      correct(begunAtMs, tokensSentAfter);
    },
  };
}
