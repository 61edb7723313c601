/** Types of the relay between callers and backend servers. */
import type { AttemptOutcome } from '@kingcupsill/core/direct';

/** An answer that is held until the reducer decides. */
export interface HeldAnswer {
  status: number;
  /** Name and value in turn. */
  headers: string[];
  body: Buffer;
}

/** The caller's side of an attempt. */
export interface AnswerTarget {
  /** Whether the head of the answer has gone to the caller. */
  started(): boolean;
  start(status: number, headers: string[]): void;
  /** Returns false when the caller reads more slowly than it is sent; `resume` follows then. */
  write(bytes: Buffer, resume: () => void): boolean;
}

/** What an attempt needs of the request. */
export interface AttemptRequest {
  method: string;
  path: string;
  /** Name and value in turn, ready for the backend server. */
  headers: string[];
  body: Buffer;
  attemptId: string | undefined;
  streaming: boolean;
  host: string;
  port: number;
  /** Only connections used within this time are taken; undefined takes any. */
  freshMs: number | undefined;
}

/** What an attempt tells. */
export interface AttemptListener {
  begun(): void;
  delivered(lastEventId: string | undefined): void;
  /** `held` is present where the answer can still be given to the caller. */
  ended(end: AttemptOutcome, detail: string, held: HeldAnswer | undefined): void;
}

/** An attempt in progress. */
export interface RunningAttempt {
  /** Ends it without a word to its listener. */
  cancel(): void;
}
