/** Types of the buffer that keeps one attempt's response, so that a router can read it again from an offset. */

/** Status and headers of a backend server's response. */
export interface ResponseHead {
  status: number;
  headers: Record<string, string | string[]>;
}

/** Outcome of receiving a response. */
export const ResponseEnd = {
  /** Every byte was received. */
  Whole: 'whole',
  /** The response was truncated or belonged to another request. */
  Broken: 'broken',
} as const;
export type ResponseEnd = (typeof ResponseEnd)[keyof typeof ResponseEnd];

/** Bounded buffer with one writer and any number of readers. */
export interface ResponseBuffer {
  /** Resolves with the head, or with null if the response ended without one. */
  waitForHead(): Promise<ResponseHead | null>;
  /** Sets the head on the first call; further calls have no effect. */
  setHead(head: ResponseHead): void;
  /** Appends a chunk, and resolves once the buffer accepts more. */
  append(chunk: Buffer): Promise<void>;
  /** Sets the outcome on the first call; further calls have no effect. */
  finish(end: ResponseEnd): void;
  /** Returns the outcome, or null while the response is being received. */
  end(): ResponseEnd | null;
  /** Number of bytes received so far. */
  length(): number;
  /** Offset of the first byte still in the buffer. */
  startOffset(): number;
  /** Yields the bytes from `offset` until the response ends; a broken response ends early without an error. */
  read(offset: number): AsyncGenerator<Buffer, void, void>;
}

/** Options of a response buffer. */
export interface ResponseBufferOptions {
  /** Number of most recently received bytes that are kept after they have been read. @default 1 MiB */
  retainedBytes?: number;
  /** Number of unread bytes above which the backend server is throttled. @default 256 KiB */
  maxUnreadBytes?: number;
}
