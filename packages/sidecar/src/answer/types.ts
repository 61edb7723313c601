/** The answer of one attempt, kept so that a router can read it again from an offset. */

/** Status and headers of a backend server's answer. */
export interface AnswerHead {
  status: number;
  headers: Record<string, string | string[]>;
}

/** How an answer ended. */
export const AnswerEnd = {
  /** Every byte has arrived. */
  Whole: 'whole',
  /** It broke off, or belonged to another request. */
  Broken: 'broken',
} as const;
export type AnswerEnd = (typeof AnswerEnd)[keyof typeof AnswerEnd];

/** A growing, bounded buffer with any number of readers. */
export interface Answer {
  /** Resolves with the head, or null when the answer ended without one. */
  head(): Promise<AnswerHead | null>;
  /** Sets the head, once; later ones are passed over. */
  setHead(head: AnswerHead): void;
  /** Adds bytes; resolves when the buffer has room for more. */
  append(chunk: Buffer): Promise<void>;
  finish(end: AnswerEnd): void;
  /** How it ended, or null while it grows. */
  end(): AnswerEnd | null;
  /** Bytes received so far. */
  length(): number;
  /** First byte that is still kept. */
  start(): number;
  /** Reads from `offset` to the end; ends early when the answer breaks. */
  read(offset: number): AsyncGenerator<Buffer, void, void>;
}

/** Options of an answer buffer. */
export interface AnswerOptions {
  /** Bytes that stay readable behind the furthest reader. @default 1 MiB */
  keepBytes?: number;
  /** Bytes that may be unread before the backend server is held up. @default 256 KiB */
  windowBytes?: number;
}
