/** Feed of one kind of stored objects: lists them, then watches their changes, and retries through outages. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import { ReadMode, StoreFailure } from '@kingcupsill/prepared-platform';
import type {
  StoreChange,
  StoreClient,
  StoreChangeBatch,
  StorePosition,
  StoreResult,
} from '@kingcupsill/prepared-platform';
import type { Clock } from '@kingcupsill/runtime';
import { createCallResults } from './call-results.js';
import { createChangeRequests } from './change-requests.js';
import type { CallResultsOptions } from './call-results.js';
import { inCurrentEra, listObjects, logUnreadable } from './list-objects.js';
import type { ReadObject } from './list-objects.js';
import { NewsState } from './followed-news.js';
import type { FollowedNews } from './followed-news.js';
import type { ChangeTiming } from './change-timing.js';

/** Times of a feed. A silent connection is detected when the wait of a watch and the response timeout have passed. */
export type FeedTiming = Omit<ChangeTiming, 'targetMs' | 'maxNewsAgeMs'>;

/** Options of a feed. */
export interface ObjectFeedOptions<TValue> extends Omit<CallResultsOptions, keyof FeedTiming> {
  client: StoreClient;
  clock: Clock;
  timing: FeedTiming;
  /** Whether data may be seconds old, for which a call costs less. */
  allowsStale: boolean;
  /** News of other routers to follow; undefined for kinds that each router watches itself. */
  news: FollowedNews | undefined;
  /** Reads what is needed of a listed object; called page by page, so it must not change any state. */
  read: ReadObject<TValue>;
  onListed: (values: TValue[]) => void;
  onChanged: (change: StoreChange) => void;
}

/** Running feed. */
export interface ObjectFeed {
  close(): void;
}

/** Wait that a watch requests while calls fail: any response shows that the store has recovered. */
const FAILING_WATCH_WAIT_MS = 0;
/** Shortest period of watches that show no change; a store may answer them before their wait is over. */
const EMPTY_WATCH_PERIOD_MS = 250;

/** Failures of a watch after which the objects are listed again, since the next watch would fail in the same way. */
const RELIST_FAILURES = new Set<StoreFailure>([StoreFailure.HistoryGone, StoreFailure.TooLarge]);

/** Delays before further listings while no watch from the one before succeeds. */
const RELIST_DELAYS = { initialMs: 50, maxMs: 400 };

/** Mode and pace of the listings; they are delayed while the store has no history of their positions. */
function createListingPace({
  availability,
  allowsStale,
}: Pick<ObjectFeedOptions<unknown>, 'availability' | 'allowsStale'>) {
  const readMode = allowsStale ? ReadMode.Stale : ReadMode.Current;
  /** Listings in a row whose position was older than the history. */
  let outdated = 0;
  return {
    readMode,
    /** Waits until the next listing may be made, and returns its mode. */
    async waitForTurn(): Promise<ReadMode> {
      if (outdated > 1) await availability.pause(exponentialBackoffMs(outdated - 2, RELIST_DELAYS));
      // Data that may be out of date may be older than the history again.
      return outdated > 0 ? ReadMode.Current : readMode;
    },
    /** Records the result of a watch from the position of a listing, or later. */
    recordWatch(result: StoreResult<unknown>): void {
      if (result.ok) outdated = 0;
      else if (RELIST_FAILURES.has(result.failure)) outdated += 1;
    },
  };
}

/** Watch that waits for its answer. */
interface PendingWatch {
  state: NewsState | undefined;
  /** Wait that it requests from the store. */
  waitMs: number;
  recordAnswer: ReturnType<FollowedNews['startCall']> | undefined;
  /** Resolves when the next watch may be made. */
  periodOver: Promise<void>;
}

/** Starts a feed. */
export function createObjectFeed<TValue>(options: ObjectFeedOptions<TValue>): ObjectFeed {
  const { availability, kind, logger, timing } = options;
  const results = createCallResults({ ...options, ...timing });
  const listings = createListingPace(options);
  const requests = createChangeRequests(options, results);
  let closed = false;
  /** The last watch has shown a change, so its confirmation may be as old as the watch. */
  let isConfirmationDue = false;

  async function list(): Promise<StorePosition | undefined> {
    const listMode = await listings.waitForTurn();
    const recordAnswer = options.news?.startCall(kind);
    const listed = await listObjects(options, results, listMode, () => closed);
    if (listed === undefined) return undefined;
    logger.info('store-listed', { kind, objects: listed.values.length, ...listed.position });
    logUnreadable(options, listed.unreadable);
    options.onListed(listed.values);
    recordAnswer?.({ position: listed.position, mayHaveChanged: true, heldMs: 0 });
    return listed.position;
  }

  function watchWaitMs(state: NewsState | undefined): number {
    if (results.isFailing()) return FAILING_WATCH_WAIT_MS;
    // The store answers at once, since there are changes.
    if (state === NewsState.Changed || isConfirmationDue || requests.wasContradicted()) return 0;
    return options.news?.isWatching() === true ? timing.confirmWaitMs : timing.watchWaitMs;
  }

  async function applyChanges(
    { changes, unreadable, position }: StoreChangeBatch,
    from: StorePosition,
    { state, waitMs, recordAnswer, periodOver }: PendingWatch,
  ): Promise<StorePosition | undefined> {
    const reached = inCurrentEra(position, options.era);
    // The changes follow a revision of an era that has ended; they must not be applied to what was listed in it.
    if (reached.era !== from.era) return undefined;
    logUnreadable(options, unreadable);
    changes.forEach(options.onChanged);
    recordAnswer?.({ position: reached, mayHaveChanged: changes.length > 0, heldMs: waitMs });
    isConfirmationDue = changes.length > 0 && options.news?.isWatching() === true;
    const followDelayMs = state === NewsState.Changed ? timing.followingBatchDelayMs : 0;
    if (changes.length > 0) await availability.pause(Math.max(timing.batchDelayMs, followDelayMs));
    else await periodOver;
    return reached;
  }

  async function watch(
    from: StorePosition,
    state: NewsState | undefined,
  ): Promise<StorePosition | undefined> {
    const periodMs = isConfirmationDue ? 0 : EMPTY_WATCH_PERIOD_MS;
    const periodOver = availability.pause(periodMs);
    const waitMs = watchWaitMs(state);
    const recordAnswer = options.news?.startCall(kind);
    const { readMode } = listings;
    const result = await requests.send(from, waitMs, readMode);
    if (requests.wasContradicted()) return from;
    if (closed || result === undefined || !results.record(result)) return undefined;
    listings.recordWatch(result);
    const pending = { state, waitMs, recordAnswer, periodOver };
    if (result.ok) return applyChanges(result.value, from, pending);
    if (result.failure === StoreFailure.HistoryGone)
      logger.info('store-history-gone', { kind, revision: from.revision });
    return RELIST_FAILURES.has(result.failure) ? undefined : from;
  }

  /** Follows the changes from a position by the news of other routers, or else by a watch. */
  async function follow(from: StorePosition): Promise<StorePosition | undefined> {
    const state = results.isFailing() ? undefined : options.news?.compare(kind, from);
    if (state !== NewsState.Unchanged) return watch(from, state);
    // Another router has just had an answer of the store.
    options.onResponse();
    await options.news?.wait(kind);
    return from;
  }

  async function run(): Promise<void> {
    let position: StorePosition | undefined;
    while (!closed) {
      const needsList = position === undefined || position.era !== options.era.current();
      position = needsList ? await list() : await follow(position!);
      if (results.isFailing() && !closed) await availability.pause(results.retryDelayMs());
    }
  }

  void run();
  return {
    close() {
      closed = true;
    },
  };
}
