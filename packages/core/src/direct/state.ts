/** State of the direct router. */
import type { Hasher } from '../hash/index.js';
import { createAccountUsage } from './account-usage.js';
import type { AccountUsage } from './account-usage.js';
import { createServerLoad } from './engine-load.js';
import type { LoadTicket, ServerLoad } from './engine-load.js';
import { createRepeatBudget } from './repeat-budget.js';
import type { RepeatBudget, RepeatBudgetOptions } from './repeat-budget.js';
import type { RouteTable } from './route-table.js';
import { createServerHealth } from './server-health.js';
import type { ServerHealth } from './server-health.js';
import { createServerRegistry } from './server-registry.js';
import type { KnownServer, ServerRegistry, ServerRegistryOptions } from './server-registry.js';
import type { PromptPart, RequestFacts } from './types.js';

/** What this router knows of one run of a backend server. */
export interface ServerState {
  health: ServerHealth;
  load: ServerLoad;
  /** Requests at the server that have shown no sign of life yet. */
  trials: number;
  /** Prompt parts that were sent there and that no report has named yet. */
  unreportedParts: PromptPart[];
}

/** An attempt in progress. */
export interface OpenAttempt {
  attempt: string;
  request: string;
  server: string;
  ticket: LoadTicket;
  /** Predicted time to the first event or the answer. */
  predictedMs: number;
}

/** A request between arrival and the end of its answer. */
export interface OpenRequest {
  request: string;
  facts: RequestFacts;
  /** Servers that had it, by key. */
  tried: string[];
  /** Attempts that may have run. */
  runs: number;
  sends: number;
  current: OpenAttempt | undefined;
  /** Something of the answer went to the caller. */
  delivering: boolean;
  lastEventId: string | undefined;
}

/** Options of a direct router. */
export interface DirectRouterOptions {
  hasher: Hasher;
  /** Own availability zone. */
  zone: string;
  /** Region of each availability zone. */
  regions: ReadonlyMap<string, string>;
  registry: ServerRegistryOptions;
  repeats: RepeatBudgetOptions;
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
  table: RouteTable | undefined;
  registry: ServerRegistry;
  /** Whether a listing of servers has been seen. */
  listed: boolean;
  /** Whether the engines that ran before this router were asked what they keep. */
  askedKept: boolean;
  servers: Map<string, ServerState>;
  requests: Map<string, OpenRequest>;
  attempts: Map<string, OpenAttempt>;
  usage: AccountUsage;
  repeats: RepeatBudget;
  /** Routers that share the fleet's budgets, this one included. */
  routers: number;
  attemptsMade: number;
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
    table: undefined,
    registry: createServerRegistry(options.registry),
    listed: false,
    askedKept: false,
    servers: new Map(),
    requests: new Map(),
    attempts: new Map(),
    usage: createAccountUsage(options.shareWindowMs),
    repeats: createRepeatBudget(options.repeats),
    routers: 1,
    attemptsMade: 0,
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

function assumedMsPerToken(state: DirectState, server: KnownServer): number {
  const tokensPerSecond = state.table?.config.engineTokensPerSecond;
  if (tokensPerSecond === undefined) return SLOWEST_MS_PER_TOKEN;
  const engines = Math.max(1, state.registry.open(server.entry.service).length);
  const stated = 1000 / ((tokensPerSecond / engines) * PROMPT_SPEED_FACTOR);
  return Math.min(SLOWEST_MS_PER_TOKEN, stated);
}

/** State of a server; made when it is first needed. */
export function serverState(state: DirectState, server: KnownServer): ServerState {
  let known = state.servers.get(server.key);
  if (known === undefined) {
    const spec = state.table?.findService(server.entry.service)?.engine;
    const load = createServerLoad({
      msPerToken: assumedMsPerToken(state, server),
      meanStayMs: DEFAULT_STAY_MS,
      memoryTokens: spec?.memoryTokens ?? 0,
    });
    known = { health: createServerHealth(), load, trials: 0, unreportedParts: [] };
    state.servers.set(server.key, known);
  }
  return known;
}
