/**
 * The numbered configuration of the fleet. The object service keeps its accepted patches under `config/history/{version}` and
 * from time to time the whole document under `config/current`.
 */

/** What kind of backend server a service is made of. */
export const ServiceKind = {
  Model: 'model',
  Plain: 'plain',
} as const;
export type ServiceKind = (typeof ServiceKind)[keyof typeof ServiceKind];

/** A client account: who may call which services, and its share of the pools. */
export interface ClientAccount {
  /** Weight of the account in each pool; service is divided by it. Greater than 0. */
  share: number;
  /** Ids of services the account may reach. */
  services: string[];
  /** Lower-case hex SHA-256 digests of the account's API keys. */
  keyHashes: string[];
  /** Requests that one router queues for the account per pool before it answers 429. @default 1000 */
  maxQueued?: number;
}

/** A rule for requests of a plain service. The first rule that matches applies. */
export interface RouteRule {
  /** Upper-case HTTP method, or `*`. */
  method: string;
  /** Path prefix below `/services/{name}`, starting with `/`. */
  pathPrefix: string;
  /** Whether a request may run more than once. */
  idempotent: boolean;
}

/** A service that callers name: a model, or a plain HTTP service. */
export interface Service {
  kind: ServiceKind;
  /** Pool of interchangeable backend servers that serves it. */
  pool: string;
  /** Rules for plain services. Without a match GET, HEAD, OPTIONS, PUT and DELETE are idempotent. */
  routes?: RouteRule[];
  /** Longest time a request waits in a queue, in milliseconds. @default 60000 */
  queueTimeoutMs?: number;
}

/** A backend server and the slots in which it runs requests. */
export interface BackendServer {
  pool: string;
  zone: string;
  region: string;
  /** Requests it runs at once. */
  slots: number;
  /** Models that the sidecar keeps loaded on it. */
  models?: string[];
  /** Whether the engine refuses orders with an old fencing number. @default false */
  checksFencing?: boolean;
  /** Set by operators: takes no new work and finishes what runs. @default false */
  draining?: boolean;
}

/** An operator who may change the configuration. */
export interface Operator {
  /** Lower-case hex SHA-256 digests of the operator's keys. */
  keyHashes: string[];
  /** Top-level parts the operator may change, or `*`. */
  mayChange: string[];
}

/** A patch that took effect; kept so that a repeat after a lost answer is recognised. */
export interface AppliedPatch {
  id: string;
  version: number;
}

/** The whole configuration at one version. */
export interface FleetConfig {
  /** Grows by one with each accepted patch; 0 is the empty configuration. */
  version: number;
  accounts: Record<string, ClientAccount>;
  services: Record<string, Service>;
  backends: Record<string, BackendServer>;
  operators: Record<string, Operator>;
  /** The latest patches, oldest first. */
  appliedPatches: AppliedPatch[];
}

/** The configuration before the first patch. */
export const EMPTY_CONFIG: FleetConfig = {
  version: 0,
  accounts: {},
  services: {},
  backends: {},
  operators: {},
  appliedPatches: [],
};

/** A fault or a remark about a configuration, at the place it concerns. */
export interface ConfigProblem {
  /** Such as `accounts.kingston.share`; empty for the whole document. */
  path: string;
  message: string;
}

/** Outcome of checking a candidate configuration. */
export type ValidationOutcome =
  | { ok: true; config: FleetConfig; warnings: ConfigProblem[] }
  | { ok: false; problems: ConfigProblem[] };

/** A patch that an operator offers. */
export interface PatchRequest {
  /** Chosen by the operator's side; the same id never takes effect twice. */
  id: string;
  /** Version that the patch was made against. */
  baseVersion: number;
  /** JSON merge patch (RFC 7396) of the document. */
  patch: unknown;
  /** Id of the operator. */
  author: string;
  reason: string;
}

/** A patch that was accepted and leads from `version - 1` to `version`. */
export interface AcceptedPatch {
  version: number;
  /** Absent where it is not known; the document's list of applied patches then stays as it was. */
  id?: string;
  patch: unknown;
}

/** Outcome of applying an operator's patch. */
export type PatchOutcome =
  | { ok: true; config: FleetConfig; warnings: ConfigProblem[] }
  | { ok: false; code: 'stale'; currentVersion: number }
  | { ok: false; code: 'invalid'; problems: ConfigProblem[] }
  | { ok: false; code: 'forbidden'; message: string }
  | { ok: false; code: 'already-applied'; version: number };

/** One value that differs between two configurations; undefined where it is absent. */
export interface ConfigDifference {
  path: string;
  before: unknown;
  after: unknown;
}

/** An accepted patch with its circumstances, kept under `config/history/{version}`. */
export interface ConfigHistoryEntry {
  /** Version that the patch led to. */
  version: number;
  id: string;
  patch: unknown;
  /** Merge patch that leads back to `version - 1`. */
  undo: unknown;
  author: string;
  reason: string;
  /** ISO 8601 time of acceptance, by the clock of the process that committed it. */
  time: string;
}
