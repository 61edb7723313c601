/** The answer of one attempt, kept so that a router can read it again from an offset. */

/** Status and headers of a backend server's answer. */
export interface ResponseHead {
  status: number;
  headers: Record<string, string | string[]>;
}

/** How an answer ended. */
export const ResponseEnd = {
  /** Every byte has arrived. */
  Whole: 'whole',
  /** It broke off, or belonged to another request. */
  Broken: 'broken',
} as const;
export type ResponseEnd = (typeof ResponseEnd)[keyof typeof ResponseEnd];

/** A growing, bounded buffer with any number of readers. */
export interface ResponseBuffer {
  /** Resolves with the head, or null when the answer ended without one. */
  waitForHead(): Promise<ResponseHead | null>;
  /** Sets the head, once; later ones are passed over. */
  setHead(head: ResponseHead): void;
  /** Adds bytes; resolves when the buffer has room for more. */
  append(chunk: Buffer): Promise<void>;
  finish(end: ResponseEnd): void;
  /** How it ended, or null while it grows. */
  end(): ResponseEnd | null;
  /** Bytes received so far. */
  length(): number;
  /** First byte that is still kept. */
  startOffset(): number;
  /** Reads from `offset` to the end; ends early when the answer breaks. */
  read(offset: number): AsyncGenerator<Buffer, void, void>;
}

/** Options of an answer buffer. */
export interface ResponseBufferOptions {
  /** Bytes that stay readable behind the furthest reader. @default 1 MiB */
  retainedBytes?: number;
  /** Bytes that may be unread before the backend server is held up. @default 256 KiB */
  maxUnreadBytes?: number;
}
