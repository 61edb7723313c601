/** State of the direct router. */
import type { Hasher } from '../hash/index.js';
import { createAccountUsage } from './account-usage.js';
import type { AccountUsage } from './account-usage.js';
import type { CandidatePool } from './servers/candidate-pool.js';
import { createCrashEvidence } from './crashes/crash-evidence.js';
import type { CrashEvidence } from './crashes/crash-evidence.js';
import { createRetryBudget } from './retry-budget.js';
import type { RetryBudget, RetryBudgetOptions } from './retry-budget.js';
import type { RouteTable } from './route-table.js';
import { createRunDurations } from './run-durations.js';
import type { RunDurations } from './run-durations.js';
import { createEvacuations } from './servers/evacuations.js';
import type { Evacuations } from './servers/evacuations.js';
import { createServerHealth } from './servers/server-health.js';
import type { ServerHealth } from './servers/server-health.js';
import { createServerLoad } from './servers/server-load.js';
import type { RequestPrediction } from './servers/backlog.js';
import type { ServerLoad } from './servers/server-load.js';
import type { RegisteredServer } from './servers/server-index.js';
import { createWarmUpLimits } from './servers/limits/warm-up-limits.js';
import type { WarmUpLimits } from './servers/limits/warm-up-limits.js';
import { createServerLimits } from './servers/limits/stated-limits.js';
import type { ServerLimits } from './servers/limits/stated-limits.js';
import { createServerRegistry } from './servers/server-registry.js';
import type { ServerRegistry, ServerRegistryOptions } from './servers/server-registry.js';
import { createServiceDemand } from './service-demand.js';
import type { ServiceDemand } from './service-demand.js';
import type { PromptPart, RequestAttributes } from './types.js';
import { createVersionState } from './versions/version-state.js';
import type { VersionState } from './versions/version-state.js';

/** Health and load of one run of a backend server, as estimated by this router. */
export interface ServerState {
  health: ServerHealth;
  load: ServerLoad;
  /** Number of this router's attempts whose answer hasn't begun. */
  unansweredAttempts: number;
  /** Time at which the latest attempt whose answer has begun was sent; 0 without one. */
  answeredSentAtMs: number;
  /** Time of the latest event or head of an answer; 0 without one. */
  heardAtMs: number;
  /** Time until which the server has asked this router to send nothing; 0 if it hasn't. */
  deferredUntilMs: number;
  /** Prompt parts sent to the server since the last report to peers. */
  unreportedParts: PromptPart[];
  /** Number of requests sent to the server since the last report to peers. */
  unreportedSends: number;
}

/** Attempt in progress. */
export interface OpenAttempt {
  id: string;
  requestId: string;
  serverKey: string;
  /** State of the server in which the attempt is counted; see `findServerState`. */
  countedIn: ServerState;
  prediction: RequestPrediction;
  /** Predicted time to the first event or the answer. */
  predictedMs: number;
  /** Time of the first event or of the head of an answer; undefined before it. */
  begunAtMs: number | undefined;
  /** Time of the latest event, or of the head of an answer; undefined before it. */
  heardAtMs: number | undefined;
  /** Time at which the attempt's connection was last examined for silence. */
  examinedAtMs: number;
  isSilent: boolean;
}

/** Request between its arrival and the end of its answer. */
export interface OpenRequest {
  id: string;
  attributes: RequestAttributes;
  /** Keys of the servers to which the request has been sent. */
  triedServerKeys: string[];
  /** Number of ended attempts in which a server may have run the request. */
  possibleRuns: number;
  sentAttempts: number;
  currentAttempt: OpenAttempt | undefined;
  /** True once events of the answer have been delivered to the caller. */
  answerStarted: boolean;
  lastEventId: string | undefined;
  /** Version of the servers' software at which the answer began or must go on; undefined as long as any may begin it. */
  version: string | undefined;
}

/** Options of a direct router. */
export interface DirectRouterOptions {
  /** Name of this router. */
  instance: string;
  /** Name and incarnation of this router. */
  router: string;
  hasher: Hasher;
  /** Availability zone of this router. */
  zone: string;
  /** Region of each availability zone. */
  regionByZone: ReadonlyMap<string, string>;
  registry: ServerRegistryOptions;
  /** The platform has evacuations of availability zones. */
  followsEvacuations: boolean;
  retryBudget: RetryBudgetOptions;
  /** Rates of calls that the store takes from all routers together. */
  store: { writesPerSecond: number; readsPerSecond: number };
  /** Window over which the fair shares of accounts are computed. */
  shareWindowMs: number;
}

/** Totals since the start of the process, for metrics and summaries. */
export interface DirectTotals {
  sent: number;
  refused: number;
  /** Prompt tokens of sent requests: request-specific, shared and expected to be recomputed, shared and expected to be cached. */
  ownTokens: number;
  againTokens: number;
  keptTokens: number;
  /** Attempts whose answer began; sums of their predicted and observed times to the first event and of the absolute errors. */
  begun: number;
  predictedMs: number;
  seenMs: number;
  errorMs: number;
  /** Starts of answers that peers have reported. */
  peerStarts: number;
  /** Requests that resumed a stream and were sent on, and those refused because its version isn't certain. */
  resumed: number;
  resumptionsRefused: number;
}

/** State of the direct router. */
export interface DirectState {
  totals: DirectTotals;
  options: DirectRouterOptions;
  routeTable: RouteTable | undefined;
  registry: ServerRegistry;
  /** Candidates by the registry's list of a service's servers. */
  candidatePools: WeakMap<readonly RegisteredServer[], CandidatePool>;
  /** True once a full listing of servers has been received. */
  hasServerList: boolean;
  /** True once the cache contents of the engines have been requested. */
  cachesRequested: boolean;
  /** Keys of servers that have stated that they leave, until the next report to peers. */
  leavingNews: string[];
  servers: Map<string, ServerState>;
  /** Keys of the servers to which prompts were sent since the last report, and of those at which requests ended. */
  sentServerKeys: Set<string>;
  endedServerKeys: Set<string>;
  /** Keys of the servers at which answers have begun since the last report. */
  begunServerKeys: Set<string>;
  requests: Map<string, OpenRequest>;
  attempts: Map<string, OpenAttempt>;
  accountUsage: AccountUsage;
  retryBudget: RetryBudget;
  crashEvidence: CrashEvidence;
  serverLimits: ServerLimits;
  warmUpLimits: WarmUpLimits;
  evacuations: Evacuations;
  serviceDemand: ServiceDemand;
  versions: VersionState;
  /** Durations of complete attempts by route. */
  runDurations: RunDurations;
  /** Times from sending an attempt to the first event or the head of its answer, by route. */
  answerDelays: RunDurations;
  /** Times between events, or behind the head of an answer, by route. */
  eventGaps: RunDurations;
  /** Time by which requests must have ended; infinite until the router drains. */
  drainEndsAtMs: number;
  /** Length of the drain; 0 until the router drains. */
  drainMs: number;
  /** Number of routers that share the fleet's budgets, including this one. */
  routerCount: number;
  attemptCount: number;
}

const HASH_RANGE = 2 ** 32;

function createPhase({ router, hasher }: DirectRouterOptions): (serverKey: string) => number {
  return (serverKey) => hasher.hash32(`${router} ${serverKey}`) / HASH_RANGE;
}

/** Creates the initial state, without a configuration or servers. */
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
      peerStarts: 0,
      resumed: 0,
      resumptionsRefused: 0,
    },
    options,
    routeTable: undefined,
    registry: createServerRegistry(options.registry),
    candidatePools: new WeakMap(),
    hasServerList: false,
    cachesRequested: false,
    leavingNews: [],
    servers: new Map(),
    sentServerKeys: new Set(),
    endedServerKeys: new Set(),
    begunServerKeys: new Set(),
    requests: new Map(),
    attempts: new Map(),
    accountUsage: createAccountUsage(options.shareWindowMs),
    retryBudget: createRetryBudget(options.retryBudget),
    crashEvidence: createCrashEvidence(),
    serverLimits: createServerLimits(createPhase(options)),
    warmUpLimits: createWarmUpLimits({ hasher: options.hasher, self: options.instance }),
    evacuations: createEvacuations(options.followsEvacuations),
    serviceDemand: createServiceDemand(),
    versions: createVersionState(),
    runDurations: createRunDurations(),
    answerDelays: createRunDurations(),
    eventGaps: createRunDurations(),
    drainEndsAtMs: Number.POSITIVE_INFINITY,
    drainMs: 0,
    routerCount: 1,
    attemptCount: 0,
  };
}

/** Ratio of prefill throughput to the configured throughput, which is a long-term mean over prefill and generation. */
const PREFILL_SPEEDUP = 1.3;
/**
 * Initial prefill time per token without a configured throughput, and the upper bound of the initial value otherwise: in a large
 * pool, the configured total is a poor estimate of one engine's throughput. An estimate that is too fast is corrected by the first
 * answer; one that is too slow keeps work away from the engine and so is never corrected.
 */
const MAX_INITIAL_MS_PER_TOKEN = 0.03;
/** Initial estimate of the mean residence time of a request. */
const INITIAL_RESIDENCE_MS = 100;

function initialMsPerToken(state: DirectState, server: RegisteredServer): number {
  const tokensPerSecond = state.routeTable?.config.engineTokensPerSecond;
  if (tokensPerSecond === undefined) return MAX_INITIAL_MS_PER_TOKEN;
  const engines = Math.max(1, state.registry.listAvailable(server.entry.service).length);
  const configuredMsPerToken = 1000 / ((tokensPerSecond / engines) * PREFILL_SPEEDUP);
  return Math.min(MAX_INITIAL_MS_PER_TOKEN, configuredMsPerToken);
}

/** Returns the state of a server and creates it on first use. */
export function getServerState(state: DirectState, server: RegisteredServer): ServerState {
  let serverState = state.servers.get(server.key);
  if (serverState === undefined) {
    const engineSpec = state.routeTable?.findService(server.entry.service)?.engine;
    const load = createServerLoad({
      msPerToken: initialMsPerToken(state, server),
      meanResidenceMs: INITIAL_RESIDENCE_MS,
      kvCapacityTokens: engineSpec?.kvCapacityTokens ?? 0,
    });
    serverState = {
      health: createServerHealth(),
      load,
      unansweredAttempts: 0,
      answeredSentAtMs: 0,
      heardAtMs: 0,
      deferredUntilMs: 0,
      unreportedParts: [],
      unreportedSends: 0,
    };
    state.servers.set(server.key, serverState);
  }
  return serverState;
}

/**
 * Returns the state in which an attempt is counted, or undefined if the server has been removed since. One that has come back has a
 * state of its own, which knows nothing of earlier attempts.
 */
export function findServerState(
  { servers }: DirectState,
  { serverKey, countedIn }: OpenAttempt,
): ServerState | undefined {
  return servers.get(serverKey) === countedIn ? countedIn : undefined;
}

/** Returns whether the router knows enough to send requests: a configuration, the servers and the zones that may be used. */
export function isReadyToRoute({ routeTable, hasServerList, evacuations }: DirectState): boolean {
  return routeTable !== undefined && hasServerList && evacuations.isKnown();
}

/** Counts a request of any kind that this router sends to a server. */
export function recordSend(state: DirectState, server: RegisteredServer, nowMs: number): void {
  getServerState(state, server).unreportedSends += 1;
  state.serverLimits.get(server.key)?.recordSend(nowMs);
  state.warmUpLimits.recordSend(server.key, nowMs);
  state.sentServerKeys.add(server.key);
}
