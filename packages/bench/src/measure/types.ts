/** Input records of the measurements. Times are fractional milliseconds of the wall clock. */

/** Outcome of a request as observed by its caller. */
export const Outcome = {
  /** A response that was marked as complete. */
  Completed: 'completed',
  /** An error stating that the request was not run. */
  Refused: 'refused',
  /** Any other end: unknown outcome, broken response or no response. */
  Failed: 'failed',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Result of comparing a response that was marked as complete with the expected one. */
export const AnswerCheck = {
  Right: 'right',
  /** A proper prefix of the expected response. */
  Incomplete: 'incomplete',
  Wrong: 'wrong',
} as const;
export type AnswerCheck = (typeof AnswerCheck)[keyof typeof AnswerCheck];

/** One HTTP request sent by a caller. */
export interface RequestRecord {
  /** Value of `x-bench-request`, unique to this HTTP request. */
  id: string;
  /** Id shared by all retries of one request. */
  logicalId: string;
  account: string;
  service: string;
  pool: string;
  router: string;
  idempotent: boolean;
  sentMs: number;
  /** Arrival of the first content byte of a streamed response; undefined if none arrived. */
  firstTokenMs?: number;
  endMs: number;
  outcome: Outcome;
  status: number;
  /** Error code of the response or of the connection. */
  code?: string;
  ran?: 'no' | 'unknown';
  /** Undefined unless the outcome is `completed`. */
  answer?: AnswerCheck;
  attempt?: string;
  backend?: string;
}

/** One run of a request on a backend server, taken from the server's journal. */
export interface BackendRun {
  /** Value of `x-bench-request`. */
  id: string;
  backend: string;
  /** Arrival at the backend server; the request occupies a slot from then on. */
  startMs: number;
  /** End of the run, or the time of collection if it is still running. */
  endMs: number;
}

/** Time interval in milliseconds. */
export interface Interval {
  startMs: number;
  endMs: number;
}

/** Interval in which a request of an account occupies or waits for a slot of a pool. */
export interface SlotInterval extends Interval {
  account: string;
}
