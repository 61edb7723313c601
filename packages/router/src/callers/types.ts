/** Callers' requests while the router holds them. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

/** A caller's request and the answer under way to it. */
export interface PendingRequest {
  request: string;
  account: string;
  service: string;
  /** Method and path for the backend server. */
  method: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  res: ServerResponse;
  /** Head of the answer, while it is held back. */
  head: ResponseHead | null;
  /** Bytes received but held back, so that a failure can still be retried. */
  bufferedChunks: Buffer[];
  /** Bytes of the answer received from the current attempt. */
  receivedBytes: number;
  /** Backend server that answers. */
  backend: string;
  /** The whole answer so far, for the record of an idempotency key; null when not kept or too large. */
  recordedChunks: Buffer[] | null;
  /** Whether the request outlives its caller's connection, as one with an idempotency key does. */
  hasIdempotencyKey: boolean;
  /** Whether the caller has got the head. */
  headRelayed: boolean;
}

/** Status and headers of an answer. */
export interface ResponseHead {
  status: number;
  headers: Record<string, string | string[] | undefined>;
}
