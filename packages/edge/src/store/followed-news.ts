/** News of the store from other routers, which a feed follows in place of a watch of its own. */
import { isLaterChange } from '@kingcupsill/core/direct';
import type { StoreNews, StoreNewsEntry } from '@kingcupsill/core/direct';
import type { StoreKind, StorePosition } from '@kingcupsill/prepared-platform';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { CONTRADICTED_CALL_MS } from './change-timing.js';

/** Whether a feed may rely on the news, and what they say about its position. */
export const NewsState = {
  /** There is no recent news, or this router watches for others. */
  Absent: 'absent',
  /** Nothing has changed since the feed's position. */
  Unchanged: 'unchanged',
  /** There are later changes. */
  Changed: 'changed',
} as const;
export type NewsState = (typeof NewsState)[keyof typeof NewsState];

/** What a router knows of the store, and from whom, for logs. */
export interface NewsBasis {
  watchesForOthers: boolean;
  /** Time since the store last answered a call of this router's own about the kind; undefined before that. */
  sinceOwnAnswerMs: number | undefined;
  /** Link by which the latest news came; undefined for the router's own or none. */
  newsFrom: string | undefined;
  newsRevision: number | undefined;
  /** Time since the store confirmed them. */
  newsAgeMs: number | undefined;
}

/** Answer of the store to a call of this router's own. */
export interface OwnAnswer {
  position: StorePosition;
  /** Whether the objects may differ from those before the call; a listing doesn't show what has changed. */
  mayHaveChanged: boolean;
  /** Time for which the store was to hold the call as long as nothing changes, in milliseconds. */
  heldMs: number;
}

/** News that show a change to which the store hasn't answered. */
export interface Contradiction {
  found: Promise<void>;
  stop(): void;
}

/** News of all kinds for the feeds of one process. */
export interface FollowedNews {
  /** Compares the news with the position of a feed. */
  compare(kind: StoreKind, position: StorePosition): NewsState;
  /** Begins a call of this router's own. Returns a function that records its answer, and passes it on if the router watches for others. */
  startCall(kind: StoreKind): (answer: OwnAnswer) => void;
  /** Returns whether this router watches the store for others, with short waits so that its news stay recent. */
  isWatching(): boolean;
  describe(kind: StoreKind): NewsBasis;
  /** Resolves when further news of a kind have been recorded, or those that there are have become too old. */
  wait(kind: StoreKind): Promise<void>;
  /**
   * Waits for news of a change after a position, and then for a short time in which the store may still answer a call that it holds.
   * Such an answer is lost if it doesn't come by then.
   */
  waitForContradiction(kind: StoreKind, position: StorePosition): Contradiction;
  /** Wakes the feeds that wait for news of these kinds. */
  wake(kinds: readonly string[]): void;
}

/** Options of the news. */
export interface FollowedNewsOptions {
  news: StoreNews;
  clock: Clock;
  isWatching: () => boolean;
  /** Age above which news isn't relied on, in milliseconds. */
  maxNewsAgeMs: number;
  logger: Logger;
  /** Passes on the latest news of a kind. */
  announce: (kind: StoreKind) => void;
}

/** Timers may fire early; news that are just within their age would be waited for again and again. */
const TIMER_MARGIN_MS = 5;

/** Callbacks that wait for news, by kind. */
function createWaiters() {
  const waiters = new Map<string, Set<() => void>>();
  return {
    /** Returns a function that removes the callback. */
    add(kind: StoreKind, onNews: () => void): () => void {
      const waiting = waiters.get(kind) ?? new Set();
      waiters.set(kind, waiting);
      waiting.add(onNews);
      return () => waiting.delete(onNews);
    },
    wake: (kind: string) => waiters.get(kind)?.forEach((onNews) => onNews()),
  };
}

/** Waits for a condition on the news, then for `delayMs`. */
function waitForNews(
  waiters: ReturnType<typeof createWaiters>,
  kind: StoreKind,
  isMet: () => boolean,
  delayMs: number,
): Contradiction {
  let stop = (): void => undefined;
  const found = new Promise<void>((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    function check(): void {
      if (isMet()) timer ??= setTimeout(resolve, delayMs);
    }
    const remove = waiters.add(kind, check);
    stop = () => {
      clearTimeout(timer);
      remove();
    };
    check();
  });
  return { found, stop: () => stop() };
}

/** Creates news to which no feed listens yet. */
export function createFollowedNews(options: FollowedNewsOptions): FollowedNews {
  const { news, clock, maxNewsAgeMs } = options;
  const waiters = createWaiters();
  const ownAnswersAtMs = new Map<StoreKind, number>();

  /** A peer may state any position. */
  function refute(
    kind: StoreKind,
    told: StoreNewsEntry | undefined,
    position: StorePosition,
  ): void {
    const refuted = news.refute(kind, told, position);
    if (refuted === undefined) return;
    const { era, revision, source } = refuted;
    const ownRevision = position.revision;
    options.logger.warn('store-news-refuted', { kind, era, revision, ownRevision, source });
  }

  return {
    compare(kind, position) {
      const latest = news.get(kind);
      if (options.isWatching() || latest === undefined) return NewsState.Absent;
      if (clock() - latest.confirmedAtMs > maxNewsAgeMs) return NewsState.Absent;
      const [newsEra, ownEra] = [latest.era ?? 0, position.era ?? 0];
      // The other routers haven't noticed yet that the store was restored; nothing shows that there are changes.
      if (newsEra < ownEra) return NewsState.Absent;
      return newsEra === ownEra && latest.revision <= position.revision
        ? NewsState.Unchanged
        : NewsState.Changed;
    },
    startCall(kind) {
      const startedAtMs = clock();
      const told = news.get(kind);
      return ({ position, mayHaveChanged, heldMs }) => {
        const answeredAtMs = clock();
        ownAnswersAtMs.set(kind, answeredAtMs);
        refute(kind, told, position);
        // The store's revision also rises with changes of other kinds, which are no news for this one.
        if (mayHaveChanged) news.recordOwnChange(kind, position);
        if (!options.isWatching()) return;
        // The answer may have waited on its way or in the socket, so it shows the state of the earliest time at which it was possible.
        const wasHeld = !mayHaveChanged && answeredAtMs - startedAtMs >= heldMs;
        const confirmedAtMs = startedAtMs + (wasHeld ? heldMs : 0);
        if (news.confirm(kind, position, confirmedAtMs)) options.announce(kind);
      };
    },
    isWatching: options.isWatching,
    describe(kind) {
      const latest = news.get(kind);
      const since = (atMs: number | undefined) =>
        atMs === undefined ? undefined : Math.round(clock() - atMs);
      return {
        watchesForOthers: options.isWatching(),
        sinceOwnAnswerMs: since(ownAnswersAtMs.get(kind)),
        newsFrom: latest?.source,
        newsRevision: latest?.revision,
        newsAgeMs: since(latest?.confirmedAtMs),
      };
    },
    wait(kind) {
      const leftMs = (news.get(kind)?.confirmedAtMs ?? 0) + maxNewsAgeMs - clock();
      return new Promise((resolve) => {
        const timer = setTimeout(finish, Math.max(0, leftMs) + TIMER_MARGIN_MS);
        const removeWaiter = waiters.add(kind, finish);
        function finish(): void {
          clearTimeout(timer);
          removeWaiter();
          resolve();
        }
      });
    },
    waitForContradiction: (kind, position) =>
      waitForNews(
        waiters,
        kind,
        () => {
          const latest = news.get(kind);
          return latest !== undefined && isLaterChange(latest, position);
        },
        CONTRADICTED_CALL_MS,
      ),
    wake(kinds) {
      kinds.forEach(waiters.wake);
    },
  };
}
