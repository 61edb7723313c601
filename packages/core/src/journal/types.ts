/** Attempt journal of one sidecar incarnation. */

/** What the journal knows of an attempt. */
export const AttemptState = {
  /** Admitted, waits for a slot. Not run yet. */
  Staged: 'staged',
  /** Sent to the backend server. */
  Running: 'running',
  /** Ended; its answer is kept for a while. */
  Finished: 'finished',
  /** Certainly not run, and never will be. */
  Barred: 'barred',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** Answer to a router that asks what became of an attempt. */
export const AttemptOutcome = {
  Running: 'running',
  Finished: 'finished',
  Barred: 'barred',
  /** Began before this sidecar incarnation, or so long ago that the journal has forgotten it: it may have run. */
  Unknown: 'unknown-outcome',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** One entry of the journal. */
export interface JournalEntry {
  state: AttemptState;
  /** Time of the last change, in milliseconds of the monotonic clock. */
  changedAtMs: number;
}

/** The journal: entries by attempt id. */
export interface AttemptJournal {
  entries: Map<string, JournalEntry>;
  /** Largest sequence number forgotten, by router incarnation. */
  forgotten: Map<string, number>;
}
