/** Feed of one kind of stored objects: lists them, then watches their changes, and retries through outages. */
import { StoreFailure } from '@kingcupsill/prepared-platform';
import type {
  StoreChange,
  StoreClient,
  StoreChangeBatch,
  StoreObject,
  StorePosition,
  StoreResult,
} from '@kingcupsill/prepared-platform';
import { createCallResults } from './call-results.js';
import type { CallResultsOptions } from './call-results.js';

/** Options of a feed. */
export interface ObjectFeedOptions extends CallResultsOptions {
  client: StoreClient;
  /** Wait that a watch requests from the store; a silent connection is detected when it has passed. */
  watchWaitMs: number;
  /** Delay after changes, so that one call returns several: a watch returns at the first change, and each call has a cost. */
  batchDelayMs: number;
  onListed: (objects: StoreObject[]) => void;
  onChanged: (change: StoreChange) => void;
}

/** Running feed. */
export interface ObjectFeed {
  close(): void;
}

/** Wait that a watch requests while calls fail: any response shows that the store has recovered. */
const FAILING_WATCH_WAIT_MS = 0;
/** Starts a feed. */
export function createObjectFeed(options: ObjectFeedOptions): ObjectFeed {
  const { client, availability, kind, logger } = options;
  const results = createCallResults(options);
  let closed = false;

  async function list(): Promise<StorePosition | undefined> {
    const objects: StoreObject[] = [];
    let cursor: string | undefined;
    let position: StorePosition | undefined;
    do {
      const page = await client.listPage(kind, cursor, results.responseTimeoutMs());
      if (closed) return undefined;
      if (!results.record(page) || !page.ok) return undefined;
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
    const waitMs = results.isFailing() ? FAILING_WATCH_WAIT_MS : options.watchWaitMs;
    const nextEra = options.era.waitForNext();
    const call = client.watch(kind, from, waitMs, results.responseTimeoutMs());
    const result = await Promise.race([call, nextEra.begun.then(() => undefined)]);
    nextEra.stop();
    return result;
  }

  async function watch(from: StorePosition): Promise<StorePosition | undefined> {
    const result = await requestChanges(from);
    if (closed || result === undefined || !results.record(result)) return undefined;
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
