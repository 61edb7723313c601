/** State of the direct router. */
import type { Hasher } from '../hash/index.js';
import { createAccountUsage } from './account-usage.js';
import type { AccountUsage } from './account-usage.js';
import { createServerLoad } from './server-load.js';
import type { RequestPrediction, ServerLoad } from './server-load.js';
import { createRetryBudget } from './retry-budget.js';
import type { RetryBudget, RetryBudgetOptions } from './retry-budget.js';
import type { RouteTable } from './route-table.js';
import { createServerHealth } from './server-health.js';
import type { ServerHealth } from './server-health.js';
import { createServerRegistry } from './server-registry.js';
import type { RegisteredServer, ServerRegistry, ServerRegistryOptions } from './server-registry.js';
import type { PromptPart, RequestAttributes } from './types.js';

/** What this router knows of one run of a backend server. */
export interface ServerState {
  health: ServerHealth;
  load: ServerLoad;
  /** Requests at the server that have shown no sign of life yet. */
  unansweredAttempts: number;
  /** Prompt parts that were sent there and that no report has named yet. */
  unreportedParts: PromptPart[];
}

/** An attempt in progress. */
export interface OpenAttempt {
  id: string;
  requestId: string;
  serverKey: string;
  prediction: RequestPrediction;
  /** Predicted time to the first event or the answer. */
  predictedMs: number;
}

/** A request between arrival and the end of its answer. */
export interface OpenRequest {
  id: string;
  attributes: RequestAttributes;
  /** Servers that had it, by key. */
  triedServerKeys: string[];
  /** Attempts that may have run. */
  possibleRuns: number;
  sentAttempts: number;
  currentAttempt: OpenAttempt | undefined;
  /** Something of the answer went to the caller. */
  answerStarted: boolean;
  lastEventId: string | undefined;
}

/** Options of a direct router. */
export interface DirectRouterOptions {
  hasher: Hasher;
  /** Own availability zone. */
  zone: string;
  /** Region of each availability zone. */
  regionByZone: ReadonlyMap<string, string>;
  registry: ServerRegistryOptions;
  retryBudget: RetryBudgetOptions;
  /** Window over which accounts' shares are levelled. */
  shareWindowMs: number;
}

/** Sums since the start, for metrics and summaries. */
export interface DirectTotals {
  sent: number;
  refused: number;
  /** Prompt tokens of sent requests: of their own, shared ones read again, and shared ones kept. */
  ownTokens: number;
  againTokens: number;
  keptTokens: number;
  /** Attempts whose first event came, their predicted and seen times to it, and the sum of the errors' sizes. */
  begun: number;
  predictedMs: number;
  seenMs: number;
  errorMs: number;
}

/** State of the direct router. */
export interface DirectState {
  totals: DirectTotals;
  options: DirectRouterOptions;
  routeTable: RouteTable | undefined;
  registry: ServerRegistry;
  /** Whether a listing of servers has been seen. */
  hasServerList: boolean;
  /** Whether the engines that ran before this router were asked what they keep. */
  cachesRequested: boolean;
  servers: Map<string, ServerState>;
  requests: Map<string, OpenRequest>;
  attempts: Map<string, OpenAttempt>;
  accountUsage: AccountUsage;
  retryBudget: RetryBudget;
  /** Routers that share the fleet's budgets, this one included. */
  routerCount: number;
  attemptCount: number;
}

/** Creates the state of a router that knows nothing yet. */
export function createDirectState(options: DirectRouterOptions): DirectState {
  return {
    totals: {
      sent: 0,
      refused: 0,
      ownTokens: 0,
      againTokens: 0,
      keptTokens: 0,
      begun: 0,
      predictedMs: 0,
      seenMs: 0,
      errorMs: 0,
    },
    options,
    routeTable: undefined,
    registry: createServerRegistry(options.registry),
    hasServerList: false,
    cachesRequested: false,
    servers: new Map(),
    requests: new Map(),
    attempts: new Map(),
    accountUsage: createAccountUsage(options.shareWindowMs),
    retryBudget: createRetryBudget(options.retryBudget),
    routerCount: 1,
    attemptCount: 0,
  };
}

/** The work that the configuration states is a mean over long spans; prompts alone are read faster by about this factor. */
const PROMPT_SPEED_FACTOR = 1.3;
/**
 * Speed assumed where the configuration says nothing of the engines' work, and the slowest one assumed at all: where engines are
 * many, the rate that it states for all of them says little of one. An engine that is believed too fast is found out by its first
 * answer; one that is believed too slow gets no work that could show it.
 */
const SLOWEST_MS_PER_TOKEN = 0.03;
/** First assumption of how long a request stays. */
const DEFAULT_STAY_MS = 100;

function assumedMsPerToken(state: DirectState, server: RegisteredServer): number {
  const tokensPerSecond = state.routeTable?.config.engineTokensPerSecond;
  if (tokensPerSecond === undefined) return SLOWEST_MS_PER_TOKEN;
  const engines = Math.max(1, state.registry.listAvailable(server.entry.service).length);
  const stated = 1000 / ((tokensPerSecond / engines) * PROMPT_SPEED_FACTOR);
  return Math.min(SLOWEST_MS_PER_TOKEN, stated);
}

/** State of a server; made when it is first needed. */
export function getServerState(state: DirectState, server: RegisteredServer): ServerState {
  let known = state.servers.get(server.key);
  if (known === undefined) {
    const spec = state.routeTable?.findService(server.entry.service)?.engine;
    const load = createServerLoad({
      msPerToken: assumedMsPerToken(state, server),
      meanResidenceMs: DEFAULT_STAY_MS,
      kvCapacityTokens: spec?.kvCapacityTokens ?? 0,
    });
    known = { health: createServerHealth(), load, unansweredAttempts: 0, unreportedParts: [] };
    state.servers.set(server.key, known);
  }
  return known;
}
