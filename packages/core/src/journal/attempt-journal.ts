/**
 * Journal of the attempts of one sidecar incarnation. It makes the answer "not run" permanent: a query for an unknown attempt bars it,
 * and a barred attempt is refused if it arrives later. For dropped entries the journal keeps the highest sequence number per router
 * incarnation; an attempt with a sequence number up to that one never counts as new.
 */
import { AttemptOutcome, AttemptState } from './types.js';
import type { AttemptJournal } from './types.js';

/** Creates an empty journal. */
export function createAttemptJournal(): AttemptJournal {
  return { entries: new Map(), forgotten: new Map() };
}

/** Sets the state of an attempt, changed at `nowMs`. */
export function recordAttempt(
  journal: AttemptJournal,
  attempt: string,
  state: AttemptState,
  nowMs: number,
): void {
  journal.entries.set(attempt, { state, changedAtMs: nowMs });
}

/** Returns whether the attempt may be admitted: it has no entry and cannot have had one that was dropped. */
export function isNewAttempt(journal: AttemptJournal, attempt: string): boolean {
  return !journal.entries.has(attempt) && !mayHaveBeenDropped(journal, attempt);
}

function mayHaveBeenDropped({ forgotten }: AttemptJournal, attempt: string): boolean {
  const { incarnation, sequence } = parseAttempt(attempt);
  return sequence <= (forgotten.get(incarnation) ?? -1);
}

/** Splits `{incarnation}.{sequence}`; an id in any other format counts as an incarnation with sequence number 0. */
function parseAttempt(attempt: string): { incarnation: string; sequence: number } {
  const dot = attempt.lastIndexOf('.');
  const sequence = Number(attempt.slice(dot + 1));
  if (dot < 0 || !Number.isSafeInteger(sequence)) return { incarnation: attempt, sequence: 0 };
  return { incarnation: attempt.slice(0, dot), sequence };
}

const OUTCOME_BY_STATE: Record<AttemptState, AttemptOutcome> = {
  [AttemptState.Staged]: AttemptOutcome.Running,
  [AttemptState.Running]: AttemptOutcome.Running,
  [AttemptState.Finished]: AttemptOutcome.Finished,
  [AttemptState.Barred]: AttemptOutcome.Barred,
};

/**
 * Returns the outcome of an attempt. An unknown attempt is barred first, unless the querying router dispatched it to an earlier
 * incarnation of this sidecar or its entry may have been dropped.
 */
export function resolveAttemptOutcome(
  journal: AttemptJournal,
  attempt: string,
  sentToThisIncarnation: boolean,
  nowMs: number,
): AttemptOutcome {
  const entry = journal.entries.get(attempt);
  if (entry) return OUTCOME_BY_STATE[entry.state];
  if (!sentToThisIncarnation || mayHaveBeenDropped(journal, attempt)) return AttemptOutcome.Unknown;
  recordAttempt(journal, attempt, AttemptState.Barred, nowMs);
  return AttemptOutcome.Barred;
}

/** Drops finished and barred attempts unchanged for more than `keepMs` and returns their ids. */
export function expireAttempts(journal: AttemptJournal, nowMs: number, keepMs: number): string[] {
  const expired: string[] = [];
  journal.entries.forEach((entry, attempt) => {
    const ended = entry.state === AttemptState.Finished || entry.state === AttemptState.Barred;
    if (ended && nowMs - entry.changedAtMs > keepMs) expired.push(attempt);
  });
  expired.forEach((attempt) => dropAttempt(journal, attempt));
  return expired;
}

function dropAttempt({ entries, forgotten }: AttemptJournal, attempt: string): void {
  entries.delete(attempt);
  const { incarnation, sequence } = parseAttempt(attempt);
  forgotten.set(incarnation, Math.max(sequence, forgotten.get(incarnation) ?? sequence));
}
