/** Outcomes of calls to the platform. Every outcome is a value; nothing is thrown for a fault of the network or the service. */
import type { fetch } from 'undici';

/** The key does not exist. */
export interface NotFoundFailure {
  ok: false;
  code: 'not-found';
}

/** The condition of a write did not hold. */
export interface ConflictFailure {
  ok: false;
  code: 'conflict';
  /** Version of the object now; undefined when the service did not name it. */
  currentVersion?: number;
}

/** The service refused the call because of its rate; the call had no effect. */
export interface RateLimitedFailure {
  ok: false;
  code: 'rate-limited';
  retryAfterMs: number;
}

/** The service could not be reached or did not answer usefully; a write had no effect. */
export interface UnavailableFailure {
  ok: false;
  code: 'unavailable';
  message: string;
}

/** The answer to a write was lost: the write may have taken effect. */
export interface UnknownWriteOutcome {
  ok: false;
  code: 'unknown';
  message: string;
}

/** The service will never accept the write, such as a body above its limit. */
export interface RejectedWriteFailure {
  ok: false;
  code: 'rejected';
  message: string;
}

/** The version to watch from is older than the service remembers; list again. */
export interface ExpiredWatchFailure {
  ok: false;
  code: 'expired';
}

/** An object with its version. */
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

/** One change seen by a watch. */
export interface WatchEvent {
  key: string;
  version: number;
  deleted: boolean;
}

export type WatchOutcome =
  { ok: true; version: number; events: WatchEvent[] } | ExpiredWatchFailure | ReadFailure;

/** Condition of a write: an object's version, or that the object does not exist yet. */
export interface PutCondition {
  ifVersion?: number;
  ifAbsent?: boolean;
}

export interface WatchRequest {
  prefix: string;
  /** Report changes after this version. */
  after: number;
  /** How long the service holds the call without a change. */
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

/** The part of `fetch` that the clients use. */
export type FetchFunction = typeof fetch;

export interface PlatformClientOptions {
  /** Base URL of the platform, such as `http://10.0.0.5:7000`. */
  url: string;
  /** Time allowed for one call. @default 2000 */
  timeoutMs?: number;
  /** Replaces undici's fetch. */
  fetch?: FetchFunction;
}
