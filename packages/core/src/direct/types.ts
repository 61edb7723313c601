/** Types of the direct router, which sends requests to backend servers without sidecars. All times are monotonic, in milliseconds. */

/** Conditions under which a request that may have run is sent again. */
export const RetryPolicy = {
  /** Any backend server may run the request again. */
  Any: 'any',
  /** Another backend server may continue the stream after the last delivered event. */
  Resume: 'resume',
  /** The request runs at most once. */
  Never: 'never',
} as const;
export type RetryPolicy = (typeof RetryPolicy)[keyof typeof RetryPolicy];

/** Service of a route with its share of the route's traffic. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** Route of the configuration. */
export interface Route {
  name: string;
  /** Host name in lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  streaming: boolean;
  retryPolicy: RetryPolicy;
  /** Maximum time from arrival to the end of the answer. */
  timeoutMs: number;
  /** Latency objective: time to the answer, or to the first event of a stream. */
  objectiveMs: number;
  /** Maximum number of backend servers that may run one request. */
  maxAttempts: number;
  /** 0 is the most urgent. */
  priority: number;
  /** True if no API key is required. */
  public: boolean;
  /** Regions whose servers may get the requests; empty if all may. */
  allowedRegions: string[];
  services: WeightedService[];
}

/** Capacity of each engine of a service. */
export interface EngineSpec {
  /** Number of requests that an engine runs concurrently. */
  slots: number;
  /** Capacity of an engine's KV cache, in tokens. */
  kvCapacityTokens: number;
}

/** Limit of a service's servers while they are cold. */
export interface ColdServerSpec {
  /** Time for which a server is cold after its start. */
  coldStartMs: number;
  /** Requests per second that a cold server takes from all routers together. */
  requestsPerSecond: number;
}

/** Service of the configuration. */
export interface ServiceSpec {
  name: string;
  /** Maximum number of connections that one backend server accepts from all clients. */
  maxConnections: number;
  /** Undefined for services without model engines. */
  engine: EngineSpec | undefined;
  /** Undefined if a server takes all requests from its start on. */
  cold: ColdServerSpec | undefined;
}

/** Client account of the configuration. */
export interface AccountSpec {
  name: string;
  apiKeys: string[];
  /** Overrides the route's priority. */
  priority: number | undefined;
  /** Regions whose servers may get the account's requests; empty if all may. */
  allowedRegions: string[];
}

/** Limits on callers' connections and requests. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface FleetConfig {
  version: number;
  routes: Route[];
  services: ServiceSpec[];
  /** Undefined if requests need no API key. */
  accounts: AccountSpec[] | undefined;
  limits: CallerLimits;
  /** Total throughput of all engines; undefined if the configuration doesn't state it. */
  engineTokensPerSecond: number | undefined;
}

/** Entry of a backend server in the store. */
export interface BackendServerEntry {
  id: string;
  service: string;
  host: string;
  port: number;
  zone: string;
  slots: number;
  draining: boolean;
  /** Start time of the server process; a different value under the same id is a restarted server. */
  startedAtMs: number;
  /** Version of the server's software; empty if the entry states none. A stream continues only at the version that began it. */
  softwareVersion: string;
  /** Time for which the server stays cold, as of the entry; undefined if the entry doesn't state it. */
  coldForMs: number | undefined;
  /** Stated time that could not be read, for logs. */
  invalidColdFor: string | undefined;
}

/** What a backend server states about itself in a response. */
export interface ServerAnnouncement {
  /** The server is about to exit and wants no new requests. */
  leaving: boolean;
  /** Time in milliseconds for which the server wants no requests from this router. */
  retryAfterMs: number | undefined;
  /** Stated wait that could not be parsed, for logs. */
  invalidRetryAfter: string | undefined;
  /** Requests per second that the server takes from all routers together; undefined if it states no limit. */
  requestsPerSecond: number | undefined;
  /** Stated limit that could not be parsed, for logs. */
  invalidLimit: string | undefined;
}

/** Segment of a prompt that engines cache as a unit. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Attributes of a request that determine admission and placement. */
export interface RequestAttributes {
  route: Route;
  service: string;
  /** Client account; undefined on public routes. */
  account: string | undefined;
  /** Regions that the client account allowed when the request arrived; empty if it allowed all. */
  accountRegions: string[];
  /** Deadline set by the caller or by the route's timeout, whichever is earlier. */
  expiresAtMs: number;
  /** Digest of method, target, account and body; requests that repeat each other have the same one. */
  fingerprint: string;
  /** Id of the attempt that brings, or has brought, the first event of the answer; undefined if the caller doesn't state it. */
  streamId: string | undefined;
  /** Last event that the caller has received of a stream that it resumes; undefined for a new request. */
  resumeAfter: string | undefined;
  /** Parts of the prompt in order; empty for requests without a prompt. */
  promptParts: PromptPart[];
  promptTokens: number;
  /** Maximum number of generated tokens. */
  maxOutputTokens: number;
}

/** Outcome of one attempt at a backend server. */
export const AttemptOutcome = {
  /** The answer was complete and successful. */
  Complete: 'complete',
  /** The server ran the request and answered with an error. */
  Failed: 'failed',
  /** The server stated that it did not run the request. */
  NotRun: 'not-run',
  /** Another instance has the address; it did not run the request. */
  WrongServer: 'wrong-server',
  /** The connection failed before the first byte of the request was sent. */
  Unsent: 'unsent',
  /** The router had no descriptor or memory for a connection, which says nothing about the server. */
  Unopened: 'unopened',
  /** The request may have run: the connection broke, or the response isn't a valid answer to it. */
  Unknown: 'unknown',
  /** The request may have run: the server answers, but with a response that can't be passed on. */
  Invalid: 'invalid',
  /** The router cancelled the attempt. */
  Cancelled: 'cancelled',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Stable error codes of responses that the router generates itself. */
export const RefusalCode = {
  NoConfiguration: 'no_configuration',
  UnknownRoute: 'unknown_route',
  UnknownKey: 'unknown_key',
  NoServer: 'no_backend_server',
  /** No server in the regions that the route and the client account allow may get the request. */
  NoServerInRegions: 'no_backend_server_in_allowed_regions',
  Overloaded: 'overloaded',
  /** The CPU of this router is overloaded; other routers may accept the request. */
  RouterBusy: 'router_busy',
  /** The memory of this router for request bodies is used up; other routers may accept the request. */
  RouterMemoryFull: 'router_memory_full',
  /** The file descriptors of this router are used up; other routers may accept the request. */
  RouterConnectionsFull: 'router_connections_full',
  /** This router is shutting down; other routers may accept the request. */
  ShuttingDown: 'router_shutting_down',
  AccountOverShare: 'account_over_share',
  /** The prompt is larger than the memory of any server of the service. */
  PromptTooLarge: 'prompt_too_large',
  /** Such a request, or requests with the same part of the prompt, have crashed their servers. */
  CrashingRequest: 'crashing_request',
  /** It isn't certain which version of the servers' software began the stream that the request resumes. */
  StreamVersionUnknown: 'stream_version_unknown',
  OutcomeUnknown: 'outcome_unknown',
  TimedOut: 'timed_out',
  BodyTooLarge: 'body_too_large',
  HeaderTooLarge: 'header_too_large',
  Malformed: 'malformed_request',
  /** An error in this router, whose log names it. */
  InternalError: 'internal_error',
} as const;
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];
