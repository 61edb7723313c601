/** Types of callers' requests in progress. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

/** Caller's request and the state of its response. */
export interface PendingRequest {
  /** Request id, unique within the router's run. */
  request: string;
  account: string;
  service: string;
  /** Method sent to the backend server. */
  method: string;
  /** Path and query sent to the backend server. */
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** HTTP response to the caller. */
  res: ServerResponse;
  /** Head received from the current attempt, or null. */
  head: ResponseHead | null;
  /** Chunks received but not yet sent to the caller, so that a failed attempt can be retried. */
  bufferedChunks: Buffer[];
  /** Number of body bytes received from the current attempt. */
  receivedBytes: number;
  /** Id of the backend server that sent the response. */
  backend: string;
  /** Chunks received so far, for the claim of the idempotency key; null without a key or if the response is too large. */
  recordedChunks: Buffer[] | null;
  /** Whether the request has an idempotency key, and so continues after its caller has disconnected. */
  hasIdempotencyKey: boolean;
  /** Whether the head has been sent to the caller. */
  headRelayed: boolean;
}

/** Status and headers of a response. */
export interface ResponseHead {
  status: number;
  headers: Record<string, string | string[] | undefined>;
}
