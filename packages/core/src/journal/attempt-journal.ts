/**
 * Journal of attempts in one sidecar incarnation. It makes "not run" a lasting fact: asking about an attempt that the journal
 * does not know bars it, and a barred attempt is refused when it arrives later. Of forgotten attempts the journal keeps the largest
 * sequence number by router incarnation: an attempt up to it is never taken for new.
 */
import { AttemptOutcome, AttemptState } from './types.js';
import type { AttemptJournal } from './types.js';

/** Creates an empty journal. */
export function createAttemptJournal(): AttemptJournal {
  return { entries: new Map(), forgotten: new Map() };
}

/** Records that an attempt is in `state` since `nowMs`. */
export function recordAttempt(
  journal: AttemptJournal,
  attempt: string,
  state: AttemptState,
  nowMs: number,
): void {
  journal.entries.set(attempt, { state, changedAtMs: nowMs });
}

/** Whether the attempt may be admitted: the journal has never heard of it, and it is no leftover of a time it has forgotten. */
export function isNewAttempt(journal: AttemptJournal, attempt: string): boolean {
  return !journal.entries.has(attempt) && !mayBeForgotten(journal, attempt);
}

function mayBeForgotten({ forgotten }: AttemptJournal, attempt: string): boolean {
  const { incarnation, sequence } = parseAttempt(attempt);
  return sequence <= (forgotten.get(incarnation) ?? -1);
}

/** Splits `{incarnation}.{sequence}`; an id of another form is an incarnation with the one number 0. */
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
 * Tells what became of an attempt. An unknown attempt is barred first, unless the asker dispatched it to an earlier incarnation
 * of this sidecar or the journal may have forgotten it.
 */
export function resolveAttemptOutcome(
  journal: AttemptJournal,
  attempt: string,
  sentToThisIncarnation: boolean,
  nowMs: number,
): AttemptOutcome {
  const entry = journal.entries.get(attempt);
  if (entry) return OUTCOME_BY_STATE[entry.state];
  if (!sentToThisIncarnation || mayBeForgotten(journal, attempt)) return AttemptOutcome.Unknown;
  recordAttempt(journal, attempt, AttemptState.Barred, nowMs);
  return AttemptOutcome.Barred;
}

/** Forgets finished and barred attempts that have not changed for `keepMs`; returns their ids. */
export function expireAttempts(journal: AttemptJournal, nowMs: number, keepMs: number): string[] {
  const expired: string[] = [];
  journal.entries.forEach((entry, attempt) => {
    const ended = entry.state === AttemptState.Finished || entry.state === AttemptState.Barred;
    if (ended && nowMs - entry.changedAtMs > keepMs) expired.push(attempt);
  });
  expired.forEach((attempt) => forget(journal, attempt));
  return expired;
}

function forget({ entries, forgotten }: AttemptJournal, attempt: string): void {
  entries.delete(attempt);
  const { incarnation, sequence } = parseAttempt(attempt);
  forgotten.set(incarnation, Math.max(sequence, forgotten.get(incarnation) ?? sequence));
}
