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
  isFailing(): boolean;
  responseTimeoutMs(): number;
  /** Delay before the next call while calls fail. */
  retryDelayMs(): number;
}

/** Response timeout while calls succeed. */
export const DEFAULT_RESPONSE_TIMEOUT_MS = 1000;
/**
 * Response timeouts, used in rotation while calls fail: short ones detect the recovery of the store within half a second, and the
 * long one covers a store that is only slow.
 */
const RESPONSE_TIMEOUTS_MS = [DEFAULT_RESPONSE_TIMEOUT_MS, 300, 300, 1500];
/** Delays after failures, doubling up to a maximum that detects the recovery of the store within half a second. */
const RETRY_DELAYS = { initialMs: 50, maxMs: 400 };
/** Delay of a feed while another one probes the store. It still makes calls, in case only the other feed's calls fail. */
const NON_PROBING_DELAY_MS = 1500;

/** Creates a record without failures. */
export function createCallResults(options: CallResultsOptions): CallResults {
  const { availability, era, kind, logger } = options;
  let failures = 0;

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
    responseTimeoutMs: () => RESPONSE_TIMEOUTS_MS[failures % RESPONSE_TIMEOUTS_MS.length]!,
    retryDelayMs() {
      const delayMs = availability.reportFailure(kind)
        ? exponentialBackoffMs(failures, RETRY_DELAYS)
        : NON_PROBING_DELAY_MS;
      return delayMs * (0.5 + options.random() / 2);
    },
  };
}
