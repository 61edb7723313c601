/** Types of the platform clients. Network and service errors are returned as values and never thrown. */
import type { fetch } from 'undici';

/** The object or model does not exist. */
export interface NotFoundFailure {
  ok: false;
  code: 'not-found';
}

/** The condition of a write was not met. */
export interface ConflictFailure {
  ok: false;
  code: 'conflict';
  /** Current version of the object; undefined if the response does not include it. */
  currentVersion?: number;
}

/** The service rejected the call because of its rate limit; the call had no effect. */
export interface RateLimitedFailure {
  ok: false;
  code: 'rate-limited';
  retryAfterMs: number;
}

/** The service could not be reached or returned an error or a malformed response; a write had no effect. */
export interface UnavailableFailure {
  ok: false;
  code: 'unavailable';
  message: string;
}

/** The response to a write was lost or inconclusive; the write may have taken effect. */
export interface UnknownWriteOutcome {
  ok: false;
  code: 'unknown';
  message: string;
}

/** The service will never accept the write, for example because the body exceeds the size limit. */
export interface RejectedWriteFailure {
  ok: false;
  code: 'rejected';
  message: string;
}

/** The service no longer keeps the events after the requested version; the caller has to list the objects again. */
export interface ExpiredWatchFailure {
  ok: false;
  code: 'expired';
}

/** Object with its version. */
export interface StoredObject {
  ok: true;
  version: number;
  body: Uint8Array;
}

export type ReadFailure = RateLimitedFailure | UnavailableFailure;
export type WriteFailure =
  RateLimitedFailure | UnavailableFailure | UnknownWriteOutcome | RejectedWriteFailure;

export type GetOutcome = StoredObject | NotFoundFailure | ReadFailure;
export type PutOutcome = { ok: true; version: number } | ConflictFailure | WriteFailure;
export type RemoveOutcome = { ok: true } | NotFoundFailure | ConflictFailure | WriteFailure;

/** Key and version of one object. */
export interface ObjectVersion {
  key: string;
  version: number;
}

export type ListOutcome = { ok: true; version: number; objects: ObjectVersion[] } | ReadFailure;

/** Change of an object, as reported by a watch. */
export interface WatchEvent {
  key: string;
  version: number;
  deleted: boolean;
}

export type WatchOutcome =
  { ok: true; version: number; events: WatchEvent[] } | ExpiredWatchFailure | ReadFailure;

/** Condition of a write: the expected version of the object, or its absence. */
export interface PutCondition {
  ifVersion?: number;
  ifAbsent?: boolean;
}

export interface WatchRequest {
  prefix: string;
  /** Version after which changes are reported. */
  after: number;
  /** Time for which the service holds the call open without a change. */
  timeoutMs: number;
  signal?: AbortSignal;
}

/** Client of the platform's object service. */
export interface ObjectClient {
  get(key: string): Promise<GetOutcome>;
  put(key: string, body: Uint8Array, condition?: PutCondition): Promise<PutOutcome>;
  remove(key: string, condition?: { ifVersion?: number }): Promise<RemoveOutcome>;
  list(prefix: string): Promise<ListOutcome>;
  watch(request: WatchRequest): Promise<WatchOutcome>;
}

/** Signature of undici's `fetch`. */
export type FetchFunction = typeof fetch;

export interface PlatformClientOptions {
  /** Base URL of the platform, such as `http://10.0.0.5:7000`. */
  url: string;
  /** Timeout of one call. @default 2000 */
  timeoutMs?: number;
  /** Replaces undici's fetch. */
  fetch?: FetchFunction;
}
