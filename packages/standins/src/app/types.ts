/** Types of the emulated application backend server. */
import type { Fault, FaultTable, PlannedFault } from '../common/types.js';
import type { ListenOptions } from '../common/http-server.js';

/** Faults of the application backend server. */
export const AppFaultKind = {
  /** The response has the answer and `x-request-id` of another request. */
  CrossedAnswers: 'crossed-answers',
  /** The response is sent `delayMs` after the work finished. */
  LateAnswer: 'late-answer',
  /** The connection is destroyed after `after` bytes of the response body. */
  CutAnswer: 'cut-answer',
  /** Workers start no requests for `durationMs`. */
  Freeze: 'freeze',
  /** New requests are rejected with status 503. */
  Refuse: 'refuse',
} as const;
export type AppFaultKind = (typeof AppFaultKind)[keyof typeof AppFaultKind];

/** Journal entry of a request that a worker started. */
export interface AppRunEntry {
  requestId: string;
  /** Value of the request header `x-bench-request`; null if absent. */
  benchRequest: string | null;
  method: string;
  /** Request path including the query string. */
  path: string;
  /** SHA-256 digest of the request body, in hex; empty until an echoed body has been read completely. */
  digest: string;
  /** Epoch milliseconds of the start. */
  startedAtMs: number;
  /** Epoch milliseconds of the end of the work; null while it runs. */
  endedAtMs: number | null;
  outcome: 'running' | 'finished' | 'cut';
}

/** JSON body of a response. */
export interface AppAnswer {
  requestId: string;
  method: string;
  path: string;
  /** SHA-256 digest of the request body, in hex. */
  digest: string;
  /** Deterministic result, derived from the method, path and digest. */
  result: string;
}

export interface AppOptions extends ListenOptions {
  /** Seed of work times and fault probabilities. @default 1 */
  seed?: number;
  /** Maximum number of concurrent requests; further requests are queued in FIFO order. @default 4 */
  workers?: number;
  /** Mean of the exponentially distributed work time of requests without `x-standin-work-ms`, in milliseconds. @default 20 */
  meanWorkMs?: number;
  /** Factor by which simulated time is faster than real time. @default 1 */
  timeScale?: number;
  /** Faults to start at given times after startup. @default [] */
  plan?: PlannedFault<AppFaultKind>[];
}

export interface AppStandin {
  port: number;
  url: string;
  faults: FaultTable<AppFaultKind>;
  /** Returns all requests started so far, in order of start. */
  journal(): (AppRunEntry & { seq: number })[];
  /** Returns the current state for the state dump. */
  state(): object;
  close(): Promise<void>;
}

export type AppFault = Fault<AppFaultKind>;
