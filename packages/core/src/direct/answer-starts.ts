/** Conversion between the start of an answer, in times of the own clock, and its report, in ages. */
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

/** Keeps a start, unless an answer at the same server is known to have begun later. */
export function keepLatestStart(
  starts: Map<string, ObservedStart>,
  reported: ReportedStart,
  nowMs: number,
): void {
  const start = readStart(reported, nowMs);
  const known = starts.get(reported.serverKey);
  if (known === undefined || start.begunAtMs >= known.begunAtMs)
    starts.set(reported.serverKey, start);
}

/** Returns a start that is reported now. */
export function readStart({ sentAgeMs, begunAgeMs }: ReportedStart, nowMs: number): ObservedStart {
  return { sentAtMs: nowMs - sentAgeMs, begunAtMs: nowMs - begunAgeMs };
}
