/** Feed of one kind of stored objects: lists them, then watches their changes, and retries through outages. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import { StoreFailure } from '@kingcupsill/prepared-platform';
import type {
  StoreChange,
  StoreClient,
  StoreChangeBatch,
  StoreKind,
  StoreObject,
  StorePosition,
  StoreResult,
} from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import type { StoreAvailability } from './store-availability.js';
import type { StoreEra } from './store-era.js';

/** Options of a feed. */
export interface ObjectFeedOptions {
  client: StoreClient;
  availability: StoreAvailability;
  era: StoreEra;
  kind: StoreKind;
  logger: Logger;
  /** Wait that a watch requests from the store; a silent connection is detected when it has passed. */
  watchWaitMs: number;
  /** Delay after changes, so that one call returns several: a watch returns at the first change, and each call has a cost. */
  batchDelayMs: number;
  /** Returns a random number in [0, 1) for jitter. */
  random: () => number;
  /** Called after each call with `ok` or the failure. */
  onCallEnded: (kind: StoreKind, outcome: string) => void;
  /** Called after each response of the store. */
  onResponse: () => void;
  onListed: (objects: StoreObject[]) => void;
  onChanged: (change: StoreChange) => void;
}

/** Running feed. */
export interface ObjectFeed {
  close(): void;
}

/** Response timeout while calls succeed. */
export const DEFAULT_RESPONSE_TIMEOUT_MS = 1000;
/**
 * Response timeouts, used in rotation while calls fail: short ones detect the recovery of the store within half a second, and the
 * long one covers a store that is only slow.
 */
const RESPONSE_TIMEOUTS_MS = [DEFAULT_RESPONSE_TIMEOUT_MS, 300, 300, 1500];
/** Wait that a watch requests while calls fail: any response shows that the store has recovered. */
const FAILING_WATCH_WAIT_MS = 0;
/** Delays after failures, doubling up to a maximum that detects the recovery of the store within half a second. */
const RETRY_DELAYS = { initialMs: 50, maxMs: 400 };
/** Delay of a feed while another one probes the store. It still makes calls, in case only the other feed's calls fail. */
const NON_PROBING_DELAY_MS = 1500;

/** Starts a feed. */
export function createObjectFeed(options: ObjectFeedOptions): ObjectFeed {
  const { client, availability, kind, logger } = options;
  let closed = false;
  let failures = 0;

  function responseTimeoutMs(): number {
    return RESPONSE_TIMEOUTS_MS[failures % RESPONSE_TIMEOUTS_MS.length]!;
  }

  function retryDelayMs(): number {
    const delayMs = availability.reportFailure(kind)
      ? exponentialBackoffMs(failures, RETRY_DELAYS)
      : NON_PROBING_DELAY_MS;
    return delayMs * (0.5 + options.random() / 2);
  }

  /**
   * Records the result of a call; logs one line at the first failure and one at the recovery. Returns whether the result may be used:
   * an answer of an era that has ended may not.
   */
  function recordResult(result: StoreResult<unknown>): boolean {
    if (!options.era.observe(result.era)) {
      options.onCallEnded(kind, 'era-ended');
      failures += 1;
      logger.info('store-answer-outdated', { kind, era: result.era });
      return false;
    }
    options.onCallEnded(kind, result.ok ? 'ok' : result.failure);
    if (result.ok || result.failure === StoreFailure.HistoryGone) {
      if (failures > 0) logger.info('store-regained', { kind, failures });
      failures = 0;
      availability.reportSuccess();
      options.onResponse();
      return true;
    }
    failures += 1;
    const { failure, detail } = result;
    if (failures === 1) logger.warn('store-lost', { kind, failure, detail });
    return true;
  }

  async function list(): Promise<StorePosition | undefined> {
    const objects: StoreObject[] = [];
    let cursor: string | undefined;
    let position: StorePosition | undefined;
    do {
      const page = await client.listPage(kind, cursor, responseTimeoutMs());
      if (closed) return undefined;
      if (!recordResult(page) || !page.ok) return undefined;
      // The watch starts at the first page's position, so it returns the changes made during the listing.
      position ??= inCurrentEra(page.value.position);
      if (position.era !== options.era.current()) return undefined;
      objects.push(...page.value.objects);
      cursor = page.value.nextCursor;
    } while (cursor !== undefined);
    options.onListed(objects);
    return position;
  }

  /** An answer that states no era is taken to be of the current one. */
  function inCurrentEra({ era, revision }: StorePosition): StorePosition {
    return { era: era ?? options.era.current(), revision };
  }

  /** Returns the result of a watch, or undefined if a new era of the store has begun meanwhile. */
  async function requestChanges(
    from: StorePosition,
  ): Promise<StoreResult<StoreChangeBatch> | undefined> {
    const waitMs = failures > 0 ? FAILING_WATCH_WAIT_MS : options.watchWaitMs;
    const nextEra = options.era.waitForNext();
    const call = client.watch(kind, from, waitMs, responseTimeoutMs());
    const result = await Promise.race([call, nextEra.begun.then(() => undefined)]);
    nextEra.stop();
    return result;
  }

  async function watch(from: StorePosition): Promise<StorePosition | undefined> {
    const result = await requestChanges(from);
    if (closed || result === undefined || !recordResult(result)) return undefined;
    if (result.ok) {
      const { changes } = result.value;
      const position = inCurrentEra(result.value.position);
      // The changes follow a revision of an era that has ended; they must not be applied to what was listed in it.
      if (position.era !== from.era) return undefined;
      changes.forEach(options.onChanged);
      if (changes.length > 0) await availability.pause(options.batchDelayMs);
      return position;
    }
    if (result.failure === StoreFailure.HistoryGone) {
      logger.info('store-history-gone', { kind, revision: from.revision });
      return undefined;
    }
    return from;
  }

  async function run(): Promise<void> {
    let position: StorePosition | undefined;
    while (!closed) {
      position =
        position === undefined || position.era !== options.era.current()
          ? await list()
          : await watch(position);
      if (failures > 0 && !closed) await availability.pause(retryDelayMs());
    }
  }

  void run();
  return {
    close() {
      closed = true;
    },
  };
}
