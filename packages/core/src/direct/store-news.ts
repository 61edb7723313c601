/**
 * What routers tell each other about the store: the position of the last change of each kind of objects, and how long ago a router
 * that watches the store has confirmed it. A router that hears such news in time needs no watch of its own.
 */

/** Position of the last change of one kind. */
export interface ChangePosition {
  /** Undefined if the store states no era. */
  era: number | undefined;
  revision: number;
}

/** News of one kind, as sent between routers. */
export interface ReportedStoreNews extends ChangePosition {
  kind: string;
  /** Time since the confirmation, in milliseconds. */
  ageMs: number;
}

/** Latest news of one kind. */
export interface StoreNewsEntry extends ChangePosition {
  /** Monotonic time at which the store answered that there is no later change. */
  confirmedAtMs: number;
  /** Link by which the news came; undefined for those from this router's own calls. */
  source?: string | undefined;
}

/** Latest news of all kinds. */
export interface StoreNews {
  get(kind: string): StoreNewsEntry | undefined;
  /** Records news of another router. Returns whether it is later than what was known. */
  record(kind: string, entry: StoreNewsEntry): boolean;
  /**
   * Removes what other routers have told of a kind up to now if the store itself, asked later, answered at an earlier position. Returns
   * the removed entry.
   */
  refute(
    kind: string,
    told: StoreNewsEntry | undefined,
    position: ChangePosition,
  ): StoreNewsEntry | undefined;
  /** Records that the objects of a kind may have changed up to a position, which this router's own call has reached. */
  recordOwnChange(kind: string, position: ChangePosition): void;
  /**
   * Records that, by an answer of the store at a position, nothing has changed since the last known change. Returns whether this is
   * later than what was known; an answer from before that change confirms nothing.
   */
  confirm(kind: string, position: ChangePosition, nowMs: number): boolean;
  all(): ReadonlyMap<string, StoreNewsEntry>;
}

/** Returns whether the change at `a` came after the one at `b`. */
export function isLaterChange(a: ChangePosition, b: ChangePosition): boolean {
  const [eraA, eraB] = [a.era ?? 0, b.era ?? 0];
  return eraA > eraB || (eraA === eraB && a.revision > b.revision);
}

/** Creates the news of a router that knows nothing of the store. */
export function createStoreNews(): StoreNews {
  const entries = new Map<string, StoreNewsEntry>();
  /** Also kept while this router tells no one, for the time when it begins to. */
  const ownChanges = new Map<string, ChangePosition>();

  function record(kind: string, entry: StoreNewsEntry): boolean {
    const known = entries.get(kind);
    if (known === undefined || isLaterChange(entry, known)) {
      entries.set(kind, entry);
      return true;
    }
    // A confirmation of an earlier change says nothing about the later one.
    if (isLaterChange(known, entry) || entry.confirmedAtMs <= known.confirmedAtMs) return false;
    entries.set(kind, entry);
    return true;
  }

  function findLastChange(kind: string): ChangePosition | undefined {
    const [heard, own] = [entries.get(kind), ownChanges.get(kind)];
    if (heard === undefined || own === undefined) return heard ?? own;
    return isLaterChange(own, heard) ? own : heard;
  }

  return {
    get: (kind) => entries.get(kind),
    record,
    refute(kind, told, position) {
      if (told === undefined || entries.get(kind) !== told || !isLaterChange(told, position))
        return undefined;
      entries.delete(kind);
      return told;
    },
    recordOwnChange(kind, { era, revision }) {
      ownChanges.set(kind, { era, revision });
    },
    confirm(kind, position, nowMs) {
      const { era, revision } = findLastChange(kind) ?? position;
      if (isLaterChange({ era, revision }, position)) return false;
      return record(kind, { era, revision, confirmedAtMs: nowMs });
    },
    all: () => entries,
  };
}

/** Returns the news of a kind as they are sent; empty if there are none. */
export function describeNews(news: StoreNews, kind: string, nowMs: number): ReportedStoreNews[] {
  const entry = news.get(kind);
  if (entry === undefined) return [];
  const { era, revision, confirmedAtMs } = entry;
  return [{ kind, era, revision, ageMs: Math.max(0, Math.round(nowMs - confirmedAtMs)) }];
}

/** Records received news and returns the kinds of which they are later than what was known. */
export function recordReportedNews(
  news: StoreNews,
  reported: readonly ReportedStoreNews[],
  source: string,
  nowMs: number,
): string[] {
  return reported.flatMap(({ kind, era, revision, ageMs }) =>
    // A confirmation from the future would be relied on for too long.
    news.record(kind, { era, revision, confirmedAtMs: nowMs - Math.max(0, ageMs), source })
      ? [kind]
      : [],
  );
}
