/** Results of one feed's calls to the store: failures, their logs, and the pace of further calls. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import { StoreFailure } from '@kingcupsill/prepared-platform';
import type { StoreKind, StoreResult } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import type { StoreAvailability } from './store-availability.js';
import type { StoreEra } from './store-era.js';

/** Options of the record. */
export interface CallResultsOptions {
  availability: StoreAvailability;
  era: StoreEra;
  kind: StoreKind;
  logger: Logger;
  /** Returns a random number in [0, 1) for jitter. */
  random: () => number;
  /** Response timeout while the store answers promptly. */
  responseTimeoutMs: number;
  /** Delay after the first failure. */
  retryDelayMs: number;
  /** Called after each call with `ok` or the failure. */
  onCallEnded: (kind: StoreKind, outcome: string) => void;
  /** Called after each response of the store. */
  onResponse: () => void;
}

/** Record of the results since the last response. */
export interface CallResults {
  /**
   * Records a result; logs one line at the first failure and one at the recovery. Returns whether the result may be used: an answer
   * of an era that has ended may not.
   */
  record(result: StoreResult<unknown>): boolean;
  /** Records how long the store has taken for a call that it didn't hold. */
  recordLatency(latencyMs: number): void;
  isFailing(): boolean;
  responseTimeoutMs(): number;
  /** Delay before the next call while calls fail. */
  retryDelayMs(): number;
}

/** Longest response timeout while calls succeed. */
export const MAX_RESPONSE_TIMEOUT_MS = 1000;
/** The store counts as silent when it takes longer than this multiple of what it took before. */
const LATENCY_MULTIPLE = 3;
/** Fraction of an earlier, higher latency that still counts after a call. */
const LATENCY_DECAY = 0.8;
/**
 * Response timeouts, used in rotation after the first failure: short ones detect the recovery of the store within half a second, and
 * the long one covers a store that is only slow.
 */
const FAILING_TIMEOUTS_MS = [300, 300, 1500, MAX_RESPONSE_TIMEOUT_MS];
/** Maximum delay after failures; it detects the recovery of the store within half a second. */
const MAX_RETRY_DELAY_MS = 400;
/** Delay of a feed while another one probes the store. It still makes calls, in case only the other feed's calls fail. */
const NON_PROBING_DELAY_MS = 1500;

/** Creates a record without failures. */
export function createCallResults(options: CallResultsOptions): CallResults {
  const { availability, era, kind, logger } = options;
  const retryDelays = { initialMs: options.retryDelayMs, maxMs: MAX_RETRY_DELAY_MS };
  let failures = 0;
  let latencyMs = 0;

  function recordResponse(): void {
    if (failures > 0) logger.info('store-regained', { kind, failures });
    failures = 0;
    availability.reportSuccess();
    options.onResponse();
  }

  function record(result: StoreResult<unknown>): boolean {
    if (!era.observe(result.era)) {
      options.onCallEnded(kind, 'era-ended');
      failures += 1;
      logger.info('store-answer-outdated', { kind, era: result.era });
      return false;
    }
    options.onCallEnded(kind, result.ok ? 'ok' : result.failure);
    if (result.ok || result.failure === StoreFailure.HistoryGone) {
      recordResponse();
      return true;
    }
    failures += 1;
    const { failure, detail } = result;
    if (failures === 1) logger.warn('store-lost', { kind, failure, detail });
    return true;
  }

  return {
    record,
    isFailing: () => failures > 0,
    recordLatency(observedMs) {
      latencyMs = Math.max(observedMs, latencyMs * LATENCY_DECAY);
    },
    responseTimeoutMs() {
      if (failures > 0) return FAILING_TIMEOUTS_MS[(failures - 1) % FAILING_TIMEOUTS_MS.length]!;
      const usualMs = Math.max(options.responseTimeoutMs, latencyMs * LATENCY_MULTIPLE);
      return Math.min(MAX_RESPONSE_TIMEOUT_MS, usualMs);
    },
    retryDelayMs() {
      const delayMs = availability.reportFailure(kind)
        ? exponentialBackoffMs(failures - 1, retryDelays)
        : NON_PROBING_DELAY_MS;
      return delayMs * (0.5 + options.random() / 2);
    },
  };
}
