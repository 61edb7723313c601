/** Starts of answers on their way between routers: each has them in times of its own clock, their reports in ages. */
import type { ReportedStart } from './events.js';
import type { ObservedStart } from './servers/backlog.js';

/** Returns a start as reported now. */
export function describeStart(
  serverKey: string,
  { sentAtMs, begunAtMs }: ObservedStart,
  nowMs: number,
): ReportedStart {
  return { serverKey, sentAgeMs: nowMs - sentAtMs, begunAgeMs: nowMs - begunAtMs };
}

/** Returns a start that is reported now. */
export function readStart({ sentAgeMs, begunAgeMs }: ReportedStart, nowMs: number): ObservedStart {
  return { sentAtMs: nowMs - sentAgeMs, begunAtMs: nowMs - begunAgeMs };
}

/** Starts of answers that wait to be passed on, one of each server. */
export interface LatestStarts {
  /** Adds a start, unless an answer at the same server is known to have begun later. */
  add(reported: ReportedStart, nowMs: number): void;
  /** Removes and returns all starts; none if some were taken shortly before. */
  take(nowMs: number): ReportedStart[];
}

/** Shortest time between the starts on one link, which bounds their bytes. */
const PERIOD_MS = 150;

/** Creates an empty collection. */
export function createLatestStarts(): LatestStarts {
  const starts = new Map<string, ObservedStart>();
  let takenAtMs = Number.NEGATIVE_INFINITY;

  return {
    add(reported, nowMs) {
      const start = readStart(reported, nowMs);
      const known = starts.get(reported.serverKey);
      if (known === undefined || start.begunAtMs >= known.begunAtMs)
        starts.set(reported.serverKey, start);
    },
    take(nowMs) {
      if (starts.size === 0 || nowMs - takenAtMs < PERIOD_MS) return [];
      takenAtMs = nowMs;
      const taken = [...starts].map(([key, start]) => describeStart(key, start, nowMs));
      starts.clear();
      return taken;
    },
  };
}
