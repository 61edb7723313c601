/**
 * Types of the versioned fleet configuration. The object service stores each accepted patch under `config/history/{version}` and,
 * at intervals, the whole document under `config/current`.
 */

/** Kind of backend servers that serve a service. */
export const ServiceKind = {
  Model: 'model',
  Plain: 'plain',
} as const;
export type ServiceKind = (typeof ServiceKind)[keyof typeof ServiceKind];

/** A client account with its API keys, the services it may call and its share of the pools. */
export interface ClientAccount {
  /** Fair-queueing weight of the account in each pool: consumed service is divided by it. Greater than 0. */
  share: number;
  /** Ids of the services that the account may call. */
  services: string[];
  /** Lower-case hex SHA-256 digests of the account's API keys. */
  keyHashes: string[];
  /** Maximum number of requests that one router queues for the account per pool; further ones get status 429. @default 1000 */
  maxQueued?: number;
}

/** Routing rule of a plain service. The first matching rule applies. */
export interface RouteRule {
  /** Upper-case HTTP method, or `*`. */
  method: string;
  /** Path prefix below `/services/{name}`, starting with `/`. */
  pathPrefix: string;
  /** Whether a request may be executed more than once. */
  idempotent: boolean;
}

/** A service that callers address by name: a model or a plain HTTP service. */
export interface Service {
  kind: ServiceKind;
  /** Pool of interchangeable backend servers that serve it. */
  pool: string;
  /** Rules of a plain service. If none matches, GET, HEAD, OPTIONS, PUT and DELETE count as idempotent. */
  routes?: RouteRule[];
  /** Maximum time that a request waits in a queue. @default 60000 */
  queueTimeoutMs?: number;
}

/** A backend server with its location and concurrency limit. */
export interface BackendServer {
  pool: string;
  zone: string;
  region: string;
  /** Maximum number of concurrent requests. */
  slots: number;
  /** Models that the sidecar keeps loaded on the server. */
  models?: string[];
  /** Whether the engine rejects orders with an outdated fencing number. @default false */
  checksFencing?: boolean;
  /** Set by operators: the server accepts no new requests and finishes the running ones. @default false */
  draining?: boolean;
}

/** An operator who may change the configuration. */
export interface Operator {
  /** Lower-case hex SHA-256 digests of the operator's keys. */
  keyHashes: string[];
  /** Top-level parts the operator may change, or `*`. */
  mayChange: string[];
}

/** An applied patch, listed so that a retry after a lost response is recognised. */
export interface AppliedPatch {
  id: string;
  version: number;
}

/** The whole configuration document. */
export interface FleetConfig {
  /** Incremented with each accepted patch; 0 for the empty configuration. */
  version: number;
  accounts: Record<string, ClientAccount>;
  services: Record<string, Service>;
  backends: Record<string, BackendServer>;
  operators: Record<string, Operator>;
  /** Most recent patches, oldest first. */
  appliedPatches: AppliedPatch[];
}

/** Configuration before the first patch. */
export const EMPTY_CONFIG: FleetConfig = {
  version: 0,
  accounts: {},
  services: {},
  backends: {},
  operators: {},
  appliedPatches: [],
};

/** An error or a warning about a configuration. */
export interface ConfigProblem {
  /** Path of the affected value, such as `accounts.kingston.share`; empty for the whole document. */
  path: string;
  message: string;
}

/** Result of validating a candidate configuration. */
export type ValidationOutcome =
  | { ok: true; config: FleetConfig; warnings: ConfigProblem[] }
  | { ok: false; problems: ConfigProblem[] };

/** A patch submitted by an operator. */
export interface PatchRequest {
  /** Chosen by the client; a patch with the same id is never applied twice. */
  id: string;
  /** Version that the patch is based on. */
  baseVersion: number;
  /** JSON merge patch (RFC 7396) of the document. */
  patch: unknown;
  /** Id of the operator. */
  author: string;
  reason: string;
}

/** An accepted patch from `version - 1` to `version`. */
export interface AcceptedPatch {
  version: number;
  /** Undefined when unknown; the list of applied patches then remains unchanged. */
  id?: string;
  patch: unknown;
}

/** Result of applying an operator's patch. */
export type PatchOutcome =
  | { ok: true; config: FleetConfig; warnings: ConfigProblem[] }
  | { ok: false; code: 'stale'; currentVersion: number }
  | { ok: false; code: 'invalid'; problems: ConfigProblem[] }
  | { ok: false; code: 'forbidden'; message: string }
  | { ok: false; code: 'already-applied'; version: number };

/** A value that differs between two configurations; undefined on the side where it is absent. */
export interface ConfigDifference {
  path: string;
  before: unknown;
  after: unknown;
}

/** An accepted patch with its metadata, stored under `config/history/{version}`. */
export interface ConfigHistoryEntry {
  /** Version that resulted from the patch. */
  version: number;
  id: string;
  patch: unknown;
  /** Merge patch that reverts to `version - 1`. */
  undo: unknown;
  author: string;
  reason: string;
  /** ISO 8601 time of acceptance on the clock of the committing process. */
  time: string;
}
