/** Feed of one kind of stored objects: lists them, then watches their changes, and retries through outages. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import { StoreFailure } from '@kingcupsill/prepared-platform';
import type {
  StoreChange,
  StoreClient,
  StoreKind,
  StoreObject,
  StoreResult,
} from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import type { StoreAvailability } from './store-availability.js';

/** Options of a feed. */
export interface ObjectFeedOptions {
  client: StoreClient;
  availability: StoreAvailability;
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

  /** Records the result of a call; logs one line at the first failure and one at the recovery. */
  function recordResult(result: StoreResult<unknown>): void {
    options.onCallEnded(kind, result.ok ? 'ok' : result.failure);
    if (result.ok || result.failure === StoreFailure.HistoryGone) {
      if (failures > 0) logger.info('store-regained', { kind, failures });
      failures = 0;
      availability.reportSuccess();
      options.onResponse();
      return;
    }
    failures += 1;
    const { failure, detail } = result;
    if (failures === 1) logger.warn('store-lost', { kind, failure, detail });
  }

  async function list(): Promise<number | undefined> {
    const objects: StoreObject[] = [];
    let cursor: string | undefined;
    let revision: number | undefined;
    do {
      const page = await client.listPage(kind, cursor, responseTimeoutMs());
      if (closed) return undefined;
      recordResult(page);
      if (!page.ok) return undefined;
      // The watch starts at the first page's revision, so it returns the changes made during the listing.
      revision ??= page.value.revision;
      objects.push(...page.value.objects);
      cursor = page.value.nextCursor;
    } while (cursor !== undefined);
    options.onListed(objects);
    return revision;
  }

  async function watch(fromRevision: number): Promise<number | undefined> {
    const waitMs = failures > 0 ? FAILING_WATCH_WAIT_MS : options.watchWaitMs;
    const result = await client.watch(kind, fromRevision, waitMs, responseTimeoutMs());
    if (closed) return undefined;
    recordResult(result);
    if (result.ok) {
      const { changes, revision } = result.value;
      changes.forEach(options.onChanged);
      if (changes.length > 0) await availability.pause(options.batchDelayMs);
      return revision;
    }
    if (result.failure === StoreFailure.HistoryGone) {
      logger.info('store-history-gone', { kind, revision: fromRevision });
      return undefined;
    }
    return fromRevision;
  }

  async function run(): Promise<void> {
    let revision: number | undefined;
    while (!closed) {
      revision = revision === undefined ? await list() : await watch(revision);
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
