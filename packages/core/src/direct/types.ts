/** Types of the direct router: it sends requests straight to backend servers, without sidecars. All times are steady milliseconds. */

/** What may be repeated of a request that may have run. */
export const RetryPolicy = {
  /** Any backend server may run it again. */
  Any: 'any',
  /** A stream that another backend server may continue after the last event delivered. */
  Resume: 'resume',
  /** It runs at most once. */
  Never: 'never',
} as const;
export type RetryPolicy = (typeof RetryPolicy)[keyof typeof RetryPolicy];

/** One service of a route with its weight. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** A route of the configuration. */
export interface Route {
  name: string;
  /** Lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  streaming: boolean;
  retryPolicy: RetryPolicy;
  /** Longest time to the end of the answer. */
  timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that callers expect. */
  objectiveMs: number;
  /** Backend servers that may run one request. */
  maxAttempts: number;
  /** 0 is the most urgent. */
  priority: number;
  /** No API key is needed. */
  public: boolean;
  services: WeightedService[];
}

/** What the configuration says of the engines of a service. */
export interface EngineSpec {
  /** Requests that an engine runs at once. */
  slots: number;
  /** Tokens that an engine's memory holds. */
  kvCapacityTokens: number;
}

/** A service of the configuration. */
export interface ServiceSpec {
  name: string;
  /** Connections that one backend server accepts from all callers together. */
  maxConnections: number;
  /** Undefined for plain services. */
  engine: EngineSpec | undefined;
}

/** A client account of the configuration. */
export interface AccountSpec {
  name: string;
  apiKeys: string[];
  /** Goes before the route's priority where present. */
  priority: number | undefined;
}

/** Limits on callers. */
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
  /** Undefined where requests need no key. */
  accounts: AccountSpec[] | undefined;
  limits: CallerLimits;
  /** Work that all engines do together; undefined where it isn't given. */
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
  /** Start of this run of the server; a new value under the same id is a new run. */
  startedAtMs: number;
}

/** One part of a prompt. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a caller's request says that decides its way. */
export interface RequestAttributes {
  route: Route;
  service: string;
  /** Client account; undefined on public routes. */
  account: string | undefined;
  /** Steady time at which the caller or the route gives up. */
  expiresAtMs: number;
  /** Parts of the prompt in order; empty where the request has no prompt. */
  promptParts: PromptPart[];
  promptTokens: number;
  /** Most tokens that are generated. */
  maxOutputTokens: number;
}

/** How one attempt at a backend server ended. */
export const AttemptOutcome = {
  /** A whole, successful answer. */
  Complete: 'complete',
  /** The server's own failure; it ran the request. */
  Failed: 'failed',
  /** The server says that it did not run it. */
  NotRun: 'not-run',
  /** Another instance has the address; it did not run it. */
  WrongServer: 'wrong-server',
  /** Not a byte was sent. */
  Unsent: 'unsent',
  /** It may have run: the connection broke, or what came is no answer to it. */
  Unknown: 'unknown',
  /** The router ended it. */
  Cancelled: 'cancelled',
} as const;
export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Stable codes of answers that the router gives itself. */
export const RefusalCode = {
  NoConfiguration: 'no_configuration',
  UnknownRoute: 'unknown_route',
  UnknownKey: 'unknown_key',
  NoServer: 'no_backend_server',
  Overloaded: 'overloaded',
  /** This router's own processor can't keep up; others may. */
  RouterBusy: 'router_busy',
  AccountOverShare: 'account_over_share',
  OutcomeUnknown: 'outcome_unknown',
  TimedOut: 'timed_out',
  BodyTooLarge: 'body_too_large',
  HeaderTooLarge: 'header_too_large',
  Malformed: 'malformed_request',
} as const;
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];
