/** Streams that callers may resume, with the version of the servers' software that began them, as far as this router has sent them. */
import { evictLeastRecentlyUsed, groupBy, markRecentlyUsed } from '../../collections/index.js';

/** Ids of streams by the service and the version that began them. */
export type StreamsByVersion = Record<string, Record<string, string[]>>;

/** Where a stream began. */
export interface StreamOrigin {
  service: string;
  version: string;
}

/** Journal of one router's streams. */
export interface StreamJournal {
  /** Records that a stream begins, or continues, at a version. */
  begin(streamId: string, origin: StreamOrigin): void;
  /**
   * Records the end of an answer; `isComplete` if the caller has got all of the stream.
   * @param timeoutMs timeout of the stream's route
   */
  end(streamId: string, isComplete: boolean, timeoutMs: number, nowMs: number): void;
  /** Forgets a stream of which the caller has got no event. */
  forget(streamId: string): void;
  find(streamId: string): StreamOrigin | undefined;
  /** Forgets the streams that can't be resumed any more; to be called regularly. */
  prune(nowMs: number): void;
  /** Returns the streams of these services. */
  list(isIncluded: (service: string) => boolean): StreamsByVersion;
  /** Number of changes that a record of the journal lacks if it was made before them. */
  changeCount(): number;
  size(): number;
}

interface JournalEntry extends StreamOrigin {
  /** Undefined while the answer is in progress. */
  forgetAtMs: number | undefined;
}

/** Time in which a caller may still miss the end of a stream that was delivered completely. */
const COMPLETE_MEMORY_MS = 3000;
/** Minimum time for which callers are taken to wait for a stream, with all of their retries. */
export const MIN_RESUMABLE_MS = 60_000;
/** Timeouts of its route for which a caller waits at most: each of its retries may last as long. */
const MAX_TIMEOUTS = 4;
const MAX_STREAMS = 16_384;
/** Minimum time between two passes over all streams. */
const PRUNE_PERIOD_MS = 1000;
/** Callers choose the ids; longer ones aren't recorded. */
const MAX_ID_CHARS = 64;

/** Returns the time for which a broken stream may be resumed. */
export function resumableForMs(timeoutMs: number): number {
  return Math.max(MIN_RESUMABLE_MS, timeoutMs * MAX_TIMEOUTS);
}

function toRecord<TValue, TResult>(
  map: ReadonlyMap<string, TValue>,
  convert: (value: TValue) => TResult,
): Record<string, TResult> {
  return Object.fromEntries([...map].map(([name, value]) => [name, convert(value)]));
}

/** Creates an empty journal. */
export function createStreamJournal(): StreamJournal {
  const entries = new Map<string, JournalEntry>();
  let changes = 0;
  let prunedAtMs = Number.NEGATIVE_INFINITY;

  function prune(nowMs: number): void {
    if (nowMs - prunedAtMs < PRUNE_PERIOD_MS) return;
    prunedAtMs = nowMs;
    entries.forEach(({ forgetAtMs }, streamId) => {
      if (forgetAtMs !== undefined && nowMs >= forgetAtMs) entries.delete(streamId);
    });
  }

  return {
    begin(streamId, { service, version }) {
      if (streamId.length > MAX_ID_CHARS) return;
      markRecentlyUsed(entries, streamId, { service, version, forgetAtMs: undefined });
      evictLeastRecentlyUsed(entries, MAX_STREAMS);
      changes += 1;
    },
    end(streamId, isComplete, timeoutMs, nowMs) {
      const entry = entries.get(streamId);
      if (entry !== undefined)
        entry.forgetAtMs = nowMs + (isComplete ? COMPLETE_MEMORY_MS : resumableForMs(timeoutMs));
    },
    forget: (streamId) => {
      entries.delete(streamId);
    },
    find: (streamId) => entries.get(streamId),
    prune,
    list(isIncluded) {
      // Names from outside may be those of properties that every object has.
      const included = [...entries].filter(([, { service }]) => isIncluded(service));
      const byService = groupBy(included, ([, { service }]) => service);
      return toRecord(byService, (ofService) =>
        toRecord(
          groupBy(ofService, ([, { version }]) => version),
          (ofVersion) => ofVersion.map(([streamId]) => streamId),
        ),
      );
    },
    changeCount: () => changes,
    size: () => entries.size,
  };
}
