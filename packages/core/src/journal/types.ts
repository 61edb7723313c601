/** Types of the attempt journal of a sidecar incarnation. */

/** State of an attempt in the journal. */
export const AttemptState = {
  /** Admitted and waiting for a slot; not run yet. */
  Staged: 'staged',
  /** Sent to the backend server. */
  Running: 'running',
  /** Ended; its response is kept for a limited time. */
  Finished: 'finished',
  /** Has not run and never will. */
  Barred: 'barred',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** Outcome of an attempt as reported to a router. */
export const AttemptOutcome = {
  Running: 'running',
  Finished: 'finished',
  Barred: 'barred',
  /** The attempt may have run: it was sent to an earlier sidecar incarnation, or its entry may have been dropped. */
  Unknown: 'unknown-outcome',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** One entry of the journal. */
export interface JournalEntry {
  state: AttemptState;
  /** Time of the last change on the monotonic clock. */
  changedAtMs: number;
}

/** Journal of the attempts that a sidecar incarnation received or was queried for. */
export interface AttemptJournal {
  /** Entries by attempt id. */
  entries: Map<string, JournalEntry>;
  /** Highest sequence number of a dropped entry, by router incarnation. */
  forgotten: Map<string, number>;
}
