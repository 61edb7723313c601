/** Types of the relay between callers and backend servers. */
import type { Socket } from 'node:net';
import type { AttemptOutcome, ServerAnnouncement } from '@kingcupsill/core/direct';
import type { StreamJoin } from '@kingcupsill/core/event-stream';

/** Complete response that is buffered until the reducer finishes or retries the request. */
export interface BufferedResponse {
  status: number;
  /** Alternating names and values. */
  headers: string[];
  /** The body in pieces as they were received: a copy in one piece would take as much memory again. */
  chunks: readonly Buffer[];
  bodyBytes: number;
  /** Returns the body's memory to the budget. */
  release: () => void;
}

/** Destination of a streamed response: the caller's connection. */
export interface ResponseSink {
  /** Returns whether the head of the response has been sent to the caller. */
  isHeadSent(): boolean;
  writeHead(status: number, headers: string[]): void;
  /** Writes to the caller. Returns false if the send buffer is full; `onDrain` is then called once it has drained. */
  write(bytes: Buffer, onDrain: () => void): boolean;
}

/** Request of an attempt. */
export interface AttemptRequest {
  method: string;
  path: string;
  /** Alternating names and values, as sent to the backend server. */
  headers: string[];
  body: Buffer;
  attemptId: string | undefined;
  streaming: boolean;
  /** Runs of the caller's stream, to which the attempt adds one. */
  streamJoin: StreamJoin;
  /** The request asks for the events after an earlier one. */
  isResumed: boolean;
  host: string;
  port: number;
  /** Maximum idle time of a reused connection; undefined allows any. */
  maxIdleMs: number | undefined;
  /**
   * Connections of the earlier attempts at the request, to which this attempt adds its own. None is used twice: a response that comes
   * once more can't be told from one to the later attempt.
   */
  usedSockets: Set<Socket>;
}

/** What determines the end of a response's body. */
export const BodyFraming = {
  Length: 'length',
  Chunked: 'chunked',
  /** The body ends with its connection. */
  Close: 'close',
} as const;
export type BodyFraming = (typeof BodyFraming)[keyof typeof BodyFraming];

/** How the body of a response ended. */
export interface BodyEnd {
  framing: BodyFraming;
  bodyBytes: number;
  /** Bytes of a stream after its last complete event; 0 for other bodies. */
  partialEventBytes: number;
  /** The trailers have contained fields that frame a body, which were ignored. */
  hasFramingTrailer: boolean;
}

/** What an attempt has received from its server. */
export interface ReceivedAmount {
  /** All bytes on the connection. */
  receivedBytes: number;
  /** Undefined for a body that is neither chunked nor a stream. */
  bodyBytes?: number;
  /** Pieces of the body as the parser found them, for example chunks; undefined as `bodyBytes`. */
  pieces?: number;
}

/** Callbacks of an attempt. */
export interface AttemptListener {
  /** The head of a response states something about the server itself. */
  onAnnounced(announcement: ServerAnnouncement): void;
  /** A part of the response has arrived, for a stream an event; the first one begins it. */
  onBegun(): void;
  onDelivered(lastEventId: string | undefined): void;
  /** The body has ended as its framing states. */
  onBodyEnded(end: BodyEnd): void;
  /** `response` is defined if the response was buffered and can still be sent to the caller. */
  onEnded(
    outcome: AttemptOutcome,
    detail: string,
    response: BufferedResponse | undefined,
    received: ReceivedAmount,
  ): void;
  /** An error in this router has broken off the attempt; `onEnded` follows. */
  onError(err: unknown): void;
}

/** Attempt in progress. */
export interface RunningAttempt {
  /**
   * Aborts the attempt without calling its listener. Returns how many idle connections to the server were closed with it, since they may
   * have gone silent like its own.
   */
  cancel(): number;
  /**
   * Returns whether the connection has delivered nothing since the last call, or since the attempt began, though it is being read from.
   */
  isSilent(): boolean;
}
