/** Types of the emulated application backend server. */
import type { Fault, FaultTable, PlannedFault } from '../common/types.js';
import type { ListenOptions } from '../common/http-server.js';

/** Faults of the application backend server. */
export const AppFaultKind = {
  /** An answer is that of another request, with the other's `x-request-id`. */
  CrossedAnswers: 'crossed-answers',
  /** An answer is sent `delayMs` after the work is done. */
  LateAnswer: 'late-answer',
  /** The connection is destroyed after `after` bytes of the answer. */
  CutAnswer: 'cut-answer',
  /** Workers start nothing for `durationMs`. */
  Freeze: 'freeze',
  /** New requests get 503 and don't run. */
  Refuse: 'refuse',
} as const;
export type AppFaultKind = (typeof AppFaultKind)[keyof typeof AppFaultKind];

/** A request that a worker took. */
export interface AppRunEntry {
  requestId: string;
  /** `x-bench-request` of the caller, if any. */
  benchRequest: string | null;
  method: string;
  /** Path with its query. */
  path: string;
  /** SHA-256 of the request's body, hex; empty until an echo has read it. */
  digest: string;
  /** Epoch milliseconds. */
  startedAtMs: number;
  /** Epoch milliseconds of the work's end; null while it runs. */
  endedAtMs: number | null;
  outcome: 'running' | 'finished' | 'cut';
}

/** The JSON answer to a request. */
export interface AppAnswer {
  requestId: string;
  method: string;
  path: string;
  /** SHA-256 of the request's body, hex. */
  digest: string;
  /** Depends on the method, path and digest alone. */
  result: string;
}

export interface AppOptions extends ListenOptions {
  /** Seed of work times and fault probabilities. @default 1 */
  seed?: number;
  /** Requests that run at once; more wait first come first. @default 4 */
  workers?: number;
  /** Mean work time of a request without `x-standin-work-ms`, exponentially distributed. @default 20 */
  meanWorkMs?: number;
  /** Runs everything this many times faster. @default 1 */
  timeScale?: number;
  /** Faults by time since the start. @default [] */
  plan?: PlannedFault<AppFaultKind>[];
}

export interface AppStandin {
  port: number;
  url: string;
  faults: FaultTable<AppFaultKind>;
  /** Every request that ran so far, in order of start. */
  journal(): (AppRunEntry & { seq: number })[];
  /** What the stand-in holds now, for a dump. */
  state(): object;
  close(): Promise<void>;
}

export type AppFault = Fault<AppFaultKind>;
