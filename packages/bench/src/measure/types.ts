/** Records that the measures are computed from. Times are milliseconds of the wall clock, with fractions. */

/** How a request ended, as its caller saw it. */
export const Outcome = {
  /** An answer that was passed as complete. */
  Completed: 'completed',
  /** An error that says the request was not run. */
  Refused: 'refused',
  /** Anything else: unknown outcome, broken answer, no answer. */
  Failed: 'failed',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** How an answer that was passed as complete compares with the expected one. */
export const AnswerCheck = {
  Right: 'right',
  /** A proper prefix of the expected answer. */
  Incomplete: 'incomplete',
  Wrong: 'wrong',
} as const;
export type AnswerCheck = (typeof AnswerCheck)[keyof typeof AnswerCheck];

/** One HTTP request of a caller. */
export interface RequestRecord {
  /** Value of `x-bench-request`, unique to this HTTP request. */
  id: string;
  /** Id that repeats of one request have in common. */
  logicalId: string;
  account: string;
  service: string;
  pool: string;
  router: string;
  idempotent: boolean;
  sentMs: number;
  /** First byte of a streamed answer's content; undefined when none came. */
  firstTokenMs?: number;
  endMs: number;
  outcome: Outcome;
  status: number;
  /** Error code of the answer, or of the connection. */
  code?: string;
  ran?: 'no' | 'unknown';
  /** Undefined unless the outcome is `completed`. */
  answer?: AnswerCheck;
  attempt?: string;
  backend?: string;
}

/** One run of a request at a backend server, from its journal. */
export interface BackendRun {
  /** Value of `x-bench-request`. */
  id: string;
  backend: string;
  /** Arrival at the backend server, from which it takes a slot. */
  startMs: number;
  /** End of the run; the time of collection while it still runs. */
  endMs: number;
}

/** A span of time, of one account where that matters. */
export interface Interval {
  startMs: number;
  endMs: number;
}

/** A span in which slots of a pool are taken. */
export interface SlotInterval extends Interval {
  account: string;
}
