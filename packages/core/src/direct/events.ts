/** Events and effects of the direct router. Events carry the steady time and random draws; effects are plain data. */
import type {
  AttemptOutcome,
  BackendServerEntry,
  FleetConfig,
  PromptPart,
  RefusalCode,
  RequestAttributes,
} from './types.js';

/** Load of one backend server in a router's report. */
export interface ReportedServerLoad {
  serverKey: string;
  /** Requests of that router that run there. */
  running: number;
  /** Prompt tokens it has sent there since its last report. */
  sentTokens: number;
  /** Ids of prompt parts it has sent there since its last report, with their tokens. */
  promptParts: [id: string, tokens: number][];
}

/** What one router tells the others. */
export interface RouterReport {
  /** Name and incarnation of the router. */
  router: string;
  loads: ReportedServerLoad[];
  /** Account, tokens asked for and tokens served since the router's start. */
  accounts: [account: string, asked: number, served: number][];
}

interface Timed {
  nowMs: number;
}

/** All that the reducer hears of. */
export type DirectEvent = Timed &
  (
    | { kind: 'configured'; config: FleetConfig }
    | { kind: 'servers-listed'; entries: BackendServerEntry[] }
    | { kind: 'server-changed'; entry: BackendServerEntry }
    | { kind: 'server-removed'; id: string }
    | { kind: 'store-answered' }
    | { kind: 'request'; request: string; attributes: RequestAttributes; draw: number }
    | { kind: 'attempt-begun'; attempt: string }
    | { kind: 'events-delivered'; request: string; lastEventId: string }
    | {
        kind: 'attempt-ended';
        attempt: string;
        outcome: AttemptOutcome;
        /** For logs: what was seen. */
        detail: string;
      }
    | { kind: 'caller-left'; request: string }
    /** An engine told which prompt parts it keeps. */
    | { kind: 'kept-listed'; serverKey: string; promptParts: PromptPart[] }
    | { kind: 'peer-report'; report: RouterReport }
    | { kind: 'peer-gone'; router: string }
    | { kind: 'peers-counted'; routerCount: number }
    | { kind: 'tick' }
  );

/** How a request ends that gets no answer of a backend server. */
export interface Refusal {
  status: number;
  code: RefusalCode;
  /** Whether it ran: `no` is a promise. */
  ran: 'no' | 'unknown';
  retryAfterMs: number | undefined;
}

/** Why a decision fell as it did; goes to the log with the effect. */
export interface DecisionInputs {
  server?: string;
  predictedMs?: number;
  allowedMs?: number;
  waitMs?: number;
  meanWaitMs?: number;
  readTokens?: number;
  shareUsed?: number;
  running?: number;
  tried?: number;
  detail?: string;
}

/** Work for the runner. */
export type DirectEffect =
  | {
      kind: 'send';
      request: string;
      attempt: string;
      serverKey: string;
      host: string;
      port: number;
      serverId: string;
      /** Time that is left, for the backend server. */
      remainingMs: number;
      /** Last event that the caller has; undefined to start at the request's own place. */
      lastEventId: string | undefined;
      isRetry: boolean;
      decisionInputs: DecisionInputs;
    }
  /** Ask an engine which prompt parts it keeps. */
  | { kind: 'list-kept'; serverKey: string; host: string; port: number }
  /** Drop the attempt; nothing more is wanted of it. */
  | { kind: 'cancel'; attempt: string }
  /** Give the caller the answer that the attempt holds, or end its stream. */
  | { kind: 'finish'; request: string }
  /** Answer with a failure of the router's own, or break off an answer that has begun. */
  | { kind: 'refuse'; request: string; refusal: Refusal; decisionInputs: DecisionInputs }
  /** A belief has changed. */
  | { kind: 'note'; event: string; fields: Record<string, string | number | boolean> };
