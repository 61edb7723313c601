/** Follows one kind of objects in the platform's store: lists them, then waits for changes, through outages. */
import { doublingMs } from '@kingcupsill/core/backoff';
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
  /** Wait of one watch: a connection that went silent shows after it. */
  watchWaitMs: number;
  /** Pause after changes, in which further ones gather: a watch returns at the first one, and each call is paid. */
  batchDelayMs: number;
  /** Random number from 0 up to 1, for jitter. */
  random: () => number;
  /** A call ended: `ok`, or why it failed. */
  onCallEnded: (kind: StoreKind, outcome: string) => void;
  /** The store answered. */
  onResponse: () => void;
  onListed: (objects: StoreObject[]) => void;
  onChanged: (change: StoreChange) => void;
}

/** A feed. */
export interface ObjectFeed {
  close(): void;
}

/** Wait for the answer to a call while the store is thought to be well. */
export const DEFAULT_RESPONSE_TIMEOUT_MS = 1000;
/**
 * Waits for an answer, in turn while calls fail: short ones, so that the store's return is seen within half a second, and a
 * long one in case that it is only slow.
 */
const ANSWER_WAITS_MS = [DEFAULT_RESPONSE_TIMEOUT_MS, 300, 300, 1500];
/** Wait of a watch while calls fail: any answer tells that the store is back. */
const FAILING_WATCH_MS = 0;
/** Pause after a failure; it doubles up to the longest, so that the store's return is seen within half a second. */
const PAUSE = { firstMs: 50, longestMs: 400 };
/** Pause of a feed while another one asks for all: it asks by itself too, in case that only the other one's calls fail. */
const OTHERS_PAUSE_MS = 1500;

/** Starts a feed. */
export function createObjectFeed(options: ObjectFeedOptions): ObjectFeed {
  const { client, availability, kind, logger } = options;
  let closed = false;
  let failures = 0;

  function answerMs(): number {
    return ANSWER_WAITS_MS[failures % ANSWER_WAITS_MS.length]!;
  }

  function pauseMs(): number {
    const ms = availability.reportFailure(kind) ? doublingMs(failures, PAUSE) : OTHERS_PAUSE_MS;
    return ms * (0.5 + options.random() / 2);
  }

  /** Notes how a call went; one line for a loss and one for the return. */
  function note(outcome: StoreResult<unknown>): void {
    options.onCallEnded(kind, outcome.ok ? 'ok' : outcome.failure);
    if (outcome.ok || outcome.failure === StoreFailure.HistoryGone) {
      if (failures > 0) logger.info('store-regained', { kind, failures });
      failures = 0;
      availability.reportSuccess();
      options.onResponse();
      return;
    }
    failures += 1;
    const { failure, detail } = outcome;
    if (failures === 1) logger.warn('store-lost', { kind, failure, detail });
  }

  async function list(): Promise<number | undefined> {
    const objects: StoreObject[] = [];
    let after: string | undefined;
    let revision: number | undefined;
    do {
      const page = await client.listPage(kind, after, answerMs());
      if (closed) return undefined;
      note(page);
      if (!page.ok) return undefined;
      // Changes during the walk lie after the first page's revision, so the watch brings them.
      revision ??= page.value.revision;
      objects.push(...page.value.objects);
      after = page.value.nextCursor;
    } while (after !== undefined);
    options.onListed(objects);
    return revision;
  }

  async function watch(from: number): Promise<number | undefined> {
    const waitMs = failures > 0 ? FAILING_WATCH_MS : options.watchWaitMs;
    const outcome = await client.watch(kind, from, waitMs, answerMs());
    if (closed) return undefined;
    note(outcome);
    if (outcome.ok) {
      const { changes, revision } = outcome.value;
      changes.forEach(options.onChanged);
      if (changes.length > 0) await availability.pause(options.batchDelayMs);
      return revision;
    }
    if (outcome.failure === StoreFailure.HistoryGone) {
      logger.info('store-history-gone', { kind, revision: from });
      return undefined;
    }
    return from;
  }

  async function run(): Promise<void> {
    let revision: number | undefined;
    while (!closed) {
      revision = revision === undefined ? await list() : await watch(revision);
      if (failures > 0 && !closed) await availability.pause(pauseMs());
    }
  }

  void run();
  return {
    close() {
      closed = true;
    },
  };
}
