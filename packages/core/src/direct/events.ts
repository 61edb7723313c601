/** Events and effects of the direct router. Events carry the monotonic time and random draws; effects are plain data. */
import type { CrashNews } from './crashes/crash-news.js';
import type { Ineligibility } from './servers/eligibility.js';
import type { EvacuationEntry } from './servers/evacuations.js';
import type { ReportedServerLimit } from './servers/limits/stated-limits.js';
import type { RequestCounts } from './service-demand.js';
import type { ReportedStoreNews } from './store-news.js';
import type { VersionEffect, VersionEvent } from './versions/types.js';
import type {
  AttemptOutcome,
  BackendServerEntry,
  FleetConfig,
  PromptPart,
  RefusalCode,
  RequestAttributes,
  ServerAnnouncement,
} from './types.js';

/** Load that a router, or the routers whose reports it passes on, have put on one backend server. */
export interface ReportedServerLoad {
  serverKey: string;
  /** Number of requests in progress at the server. */
  running: number;
  /** Prompt tokens sent to the server since the router's last report. */
  sentTokens: number;
  /** Number of requests sent to the server since the router's last report. */
  sentRequests: number;
  /** Prompt parts sent to the server since the router's last report. */
  promptParts: [id: string, tokens: number][];
}

/** Start of an answer at a server, as of the time of the report. */
export interface ReportedStart {
  serverKey: string;
  /** Time since the request was sent. */
  sentAgeMs: number;
  /** Time since the first event of the answer. */
  begunAgeMs: number;
}

/** Load report that a router sends to its peers. */
export interface RouterReport {
  /** Name and incarnation of the router. */
  router: string;
  loads: ReportedServerLoad[];
  /** Requested and served tokens of accounts since the last report. */
  accounts: [account: string, requestedTokens: number, servedTokens: number][];
  /** Keys of servers that have stated that they leave. */
  leaving: string[];
  /** Later changes and confirmations of the store's content since the last report. */
  storeNews: ReportedStoreNews[];
  crashNews: CrashNews;
  /** Limits of servers that have changed. */
  limits: ReportedServerLimit[];
  /** Requests that have arrived since the last report. */
  demand: RequestCounts;
  /** Latest starts of answers since the last report, at most one of each server. */
  starts: ReportedStart[];
}

interface Timed {
  nowMs: number;
}

/** Input of the reducer. */
export type DirectEvent = Timed &
  (
    | VersionEvent
    | { kind: 'configured'; config: FleetConfig }
    | { kind: 'servers-listed'; entries: BackendServerEntry[] }
    /** The store has been restored from an older copy; listings may lack changes that it had acknowledged. */
    | { kind: 'store-restored' }
    | {
        kind: 'server-announced';
        serverKey: string;
        announcement: ServerAnnouncement;
        /** Time at which the request that the server has answered was sent. */
        requestSentAtMs: number;
      }
    | { kind: 'server-changed'; entry: BackendServerEntry }
    | { kind: 'server-removed'; id: string }
    | { kind: 'evacuations-listed'; evacuations: EvacuationEntry[] }
    | { kind: 'zone-evacuated'; evacuation: EvacuationEntry }
    | { kind: 'evacuation-withdrawn'; zone: string }
    | { kind: 'store-answered' }
    | { kind: 'request'; request: string; attributes: RequestAttributes; draw: number }
    | { kind: 'attempt-begun'; attempt: string }
    /** `lastEventId` is undefined if none of the events has an id. */
    | { kind: 'events-delivered'; request: string; lastEventId: string | undefined }
    | {
        kind: 'attempt-ended';
        attempt: string;
        outcome: AttemptOutcome;
        /** Observed error or response, for logs. */
        detail: string;
      }
    /** The attempt's connection delivers nothing though it is being read from. */
    | { kind: 'connection-silent'; attempt: string }
    | { kind: 'caller-left'; request: string }
    /** An effect for the request could not be carried out; the last attempt, if any, was not sent. */
    | { kind: 'request-failed'; request: string; detail: string }
    /** Response of an engine with the prompt parts in its cache. */
    | { kind: 'kept-listed'; serverKey: string; promptParts: PromptPart[] }
    | { kind: 'peer-report'; report: RouterReport }
    /** The reports of a link no longer hold; `router` is the name under which they were applied. */
    | { kind: 'peer-gone'; router: string }
    /** Names of all routers, including this one. */
    | { kind: 'peers-listed'; routers: string[] }
    /** The router has begun to drain; requests that are open at `endsAtMs` get their final answers then. */
    | { kind: 'drain-started'; endsAtMs: number }
    | { kind: 'drain-ended' }
    | { kind: 'tick' }
  );

/** Error response to a request that gets no answer from a backend server. */
export interface Refusal {
  status: number;
  code: RefusalCode;
  /** Whether a backend server ran the request; `no` is a guarantee. */
  ran: 'no' | 'unknown';
  retryAfterMs: number | undefined;
}

/** Inputs of a placement or admission decision, logged with its effect. */
export interface DecisionInputs {
  /** Client account; undefined on public routes. */
  account?: string | undefined;
  /** Key of the chosen server, or of the server of the last attempt. */
  server?: string;
  /** Version of that server's software. */
  version?: string;
  /** Predicted time to the first event or the answer. */
  predictedMs?: number;
  /** Maximum predicted time at which the request is admitted. */
  allowedMs?: number;
  /** Estimated wait at the server. */
  waitMs?: number;
  /** Mean estimated wait over all candidates. */
  meanWaitMs?: number;
  /** Prompt tokens that the server is expected to compute. */
  readTokens?: number;
  /** Tokens that the caller states for the prompt, and capacity of one server's KV cache. */
  promptTokens?: number;
  kvCapacityTokens?: number | undefined;
  /** Ratio of the account's served tokens to its fair share; 0 while capacity is sufficient. */
  shareUsed?: number;
  /** How far capacity is insufficient for all accounts, from 0 to 1. */
  shortfall?: number;
  /** Number of all routers' requests in progress at the server. */
  running?: number;
  /** Expected duration of the attempt, or the time to the request's deadline if that is shorter. */
  expectedMs?: number;
  /** Time until the drain ends. */
  drainLeftMs?: number;
  /** Time until the request's deadline. */
  remainingMs?: number;
  /** Numbers of servers that may not get the request, by reason. */
  ineligible?: Partial<Record<Ineligibility, number>>;
  /** Number of attempts sent so far. */
  tried?: number;
  /** Observed error or response. */
  detail?: string;
}

/** Output of the reducer, carried out by the effect handlers. */
export type DirectEffect =
  | VersionEffect
  | {
      kind: 'send';
      request: string;
      attempt: string;
      serverKey: string;
      host: string;
      port: number;
      serverId: string;
      /** Time to the request's deadline, passed on to the backend server. */
      remainingMs: number;
      /** Last event delivered to the caller; undefined before the first one. */
      lastEventId: string | undefined;
      isRetry: boolean;
      decisionInputs: DecisionInputs;
    }
  /** Requests the list of prompt parts in an engine's cache. */
  | { kind: 'list-kept'; serverKey: string; host: string; port: number }
  /** Finds out whether the attempt's connection has delivered anything since it was last examined; if not, `connection-silent` follows. */
  | { kind: 'examine-connection'; attempt: string }
  /** Aborts the attempt and discards its answer. */
  | { kind: 'cancel'; attempt: string }
  /** Sends the attempt's buffered answer to the caller, or ends the caller's stream. */
  | { kind: 'finish'; request: string }
  /** Sends an error response, or aborts an answer that has already started. */
  | { kind: 'refuse'; request: string; refusal: Refusal; decisionInputs: DecisionInputs }
  /** Logs a change of the router's state. */
  | { kind: 'note'; event: string; fields: Record<string, string | number | boolean> };
