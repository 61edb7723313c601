/**
 * Journal of attempts in one sidecar incarnation. It makes "not run" a lasting fact: asking about an attempt that the journal
 * does not know bars it, and a barred attempt is refused when it arrives later.
 */
import { AttemptOutcome, AttemptState } from './types.js';
import type { AttemptJournal } from './types.js';

/** Creates an empty journal. */
export function createAttemptJournal(): AttemptJournal {
  return { entries: new Map() };
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

/** Whether the attempt may be admitted: the journal has never heard of it. */
export function isNewAttempt(journal: AttemptJournal, attempt: string): boolean {
  return !journal.entries.has(attempt);
}

const OUTCOME_BY_STATE: Record<AttemptState, AttemptOutcome> = {
  [AttemptState.Staged]: AttemptOutcome.Running,
  [AttemptState.Running]: AttemptOutcome.Running,
  [AttemptState.Finished]: AttemptOutcome.Finished,
  [AttemptState.Barred]: AttemptOutcome.Barred,
};

/**
 * Tells what became of an attempt. An unknown attempt is barred first, unless the asker dispatched it to an earlier incarnation
 * of this sidecar.
 */
export function askOutcome(
  journal: AttemptJournal,
  attempt: string,
  sentToThisIncarnation: boolean,
  nowMs: number,
): AttemptOutcome {
  const entry = journal.entries.get(attempt);
  if (entry) return OUTCOME_BY_STATE[entry.state];
  if (!sentToThisIncarnation) return AttemptOutcome.Unknown;
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
  expired.forEach((attempt) => journal.entries.delete(attempt));
  return expired;
}
