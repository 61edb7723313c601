/** News of the store from other routers, which a feed follows in place of a watch of its own. */
import type { StoreNews } from '@kingcupsill/core/direct';
import type { StoreKind, StorePosition } from '@kingcupsill/prepared-platform';
import type { Clock } from '@kingcupsill/runtime';

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
  /** Wakes the feeds that wait for news of these kinds. */
  wake(kinds: readonly string[]): void;
}

/** Options of the news. */
export interface FollowedNewsOptions {
  news: StoreNews;
  clock: Clock;
  isWatching: () => boolean;
  /** Passes on the latest news of a kind. */
  announce: (kind: StoreKind) => void;
}

/** Wait that a watching router requests from the store, so that it confirms its news about every second. */
export const WATCHING_WAIT_MS = 800;
/** Age above which news isn't relied on; it leaves time for a call of the own within the shortest limits of changes. */
export const MAX_NEWS_AGE_MS = 1600;
/** Timers may fire early; news that are just within their age would be waited for again and again. */
const TIMER_MARGIN_MS = 5;

/** Creates news to which no feed listens yet. */
export function createFollowedNews(options: FollowedNewsOptions): FollowedNews {
  const { news, clock } = options;
  const waiters = new Map<string, Set<() => void>>();
  const ownAnswersAtMs = new Map<StoreKind, number>();

  return {
    compare(kind, position) {
      const latest = news.get(kind);
      if (options.isWatching() || latest === undefined) return NewsState.Absent;
      if (clock() - latest.confirmedAtMs > MAX_NEWS_AGE_MS) return NewsState.Absent;
      const [newsEra, ownEra] = [latest.era ?? 0, position.era ?? 0];
      // The other routers haven't noticed yet that the store was restored; nothing shows that there are changes.
      if (newsEra < ownEra) return NewsState.Absent;
      return newsEra === ownEra && latest.revision <= position.revision
        ? NewsState.Unchanged
        : NewsState.Changed;
    },
    startCall(kind) {
      const startedAtMs = clock();
      return ({ position, mayHaveChanged, heldMs }) => {
        const answeredAtMs = clock();
        ownAnswersAtMs.set(kind, answeredAtMs);
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
      const answeredAtMs = ownAnswersAtMs.get(kind);
      const since = (atMs: number | undefined) =>
        atMs === undefined ? undefined : Math.round(clock() - atMs);
      return {
        watchesForOthers: options.isWatching(),
        sinceOwnAnswerMs: since(answeredAtMs),
        newsFrom: latest?.source,
        newsRevision: latest?.revision,
        newsAgeMs: since(latest?.confirmedAtMs),
      };
    },
    wait(kind) {
      const leftMs = (news.get(kind)?.confirmedAtMs ?? 0) + MAX_NEWS_AGE_MS - clock();
      return new Promise((resolve) => {
        const waiting = waiters.get(kind) ?? new Set();
        waiters.set(kind, waiting);
        const timer = setTimeout(finish, Math.max(0, leftMs) + TIMER_MARGIN_MS);
        function finish(): void {
          clearTimeout(timer);
          waiting.delete(finish);
          resolve();
        }
        waiting.add(finish);
      });
    },
    wake(kinds) {
      kinds.forEach((kind) => waiters.get(kind)?.forEach((finish) => finish()));
    },
  };
}
