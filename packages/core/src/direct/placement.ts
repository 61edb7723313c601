/** Selects a backend server for a request. */
import { createCandidatePool } from './servers/candidate-pool.js';
import type { CandidatePool } from './servers/candidate-pool.js';
import { ownTokens, sharedPartIds } from './prompt-parts.js';
import type { RegisteredServer } from './servers/server-index.js';
import { getServerState } from './state.js';
import type { DirectState, ServerState } from './state.js';
import type { RequestAttributes } from './types.js';

/** Backend server that can take the request, with the predictions for it. */
export interface Candidate {
  server: RegisteredServer;
  serverState: ServerState;
  /** Predicted time to the first event or the answer. */
  predictedMs: number;
  waitMs: number;
  /** Mean wait over all candidates. */
  meanWaitMs: number;
  /** Predicted processing time of the request itself, without waiting. */
  workMs: number;
  /** Prompt tokens that the server has to compute. */
  prefillTokens: number;
  /** Those of them that belong to shared parts, which another server may have cached. */
  recomputedTokens: number;
  /** Placement cost in milliseconds; the candidate with the lowest cost is selected. */
  cost: number;
}

/** Additional round trip time to a server in another availability zone of the region, and in another region. */
const OTHER_ZONE_MS = 2;
const OTHER_REGION_MS = 16;
/** Cost of sending a prompt to another region, since traffic between regions is billed. */
const OTHER_REGION_COST_MS = 40;
/** Additional weight of the time to recompute shared parts, which delays other requests at the engine. */
const RECOMPUTE_WEIGHT = 2.5;
/** Cost of computing new shared parts on another server than their home server. */
const NOT_HOME_COST_MS = 40;
/** Cost of a server at which all attempts fail, relative to one without failures. */
const FAILURE_COST_MS = 2000;

/** Additional round trip time to a server in `zone`. */
export function extraRoundTripMs({ options }: DirectState, zone: string): number {
  if (zone === options.zone) return 0;
  const sameRegion = options.regionByZone.get(zone) === options.regionByZone.get(options.zone);
  return sameRegion ? OTHER_ZONE_MS : OTHER_REGION_MS;
}

/** Expected wait for a free slot if all slots are taken. */
function slotWaitMs(serverState: ServerState, slots: number): number {
  const excess = serverState.load.running() - slots + 1;
  return excess > 0 ? (excess * serverState.load.meanResidenceMs()) / slots : 0;
}

/** Server that accepts new requests. */
interface AvailableServer {
  server: RegisteredServer;
  serverState: ServerState;
  failureRate: number;
}

/** Id of the last part of the prompt that other prompts share; undefined if there is none. */
function findSharedPartId({ promptParts }: RequestAttributes): string | undefined {
  return sharedPartIds(promptParts).pop();
}

/** Returns the pool of a service, which is kept until a server of it changes. */
function getPool(state: DirectState, service: string): CandidatePool {
  const servers = state.registry.listAvailable(service);
  const known = state.candidatePools.get(servers);
  if (known !== undefined) return known;
  const pool = createCandidatePool(servers, {
    hasher: state.options.hasher,
    distanceMs: (zone) => extraRoundTripMs(state, zone),
  });
  state.candidatePools.set(servers, pool);
  return pool;
}

/** Key of the server that all routers prefer for the shared parts of a prompt; undefined if it has none. */
function findHomeServer(
  state: DirectState,
  attributes: RequestAttributes,
  available: readonly AvailableServer[],
): string | undefined {
  const partId = findSharedPartId(attributes);
  if (partId === undefined) return undefined;
  const servers = available.map(({ server }) => server);
  return getPool(state, attributes.service).findHome(partId, servers);
}

interface PlacementContext {
  state: DirectState;
  attributes: RequestAttributes;
  homeServerKey: string | undefined;
  /** Lowest failure rate of the servers; failures common to all servers don't distinguish them. */
  minFailureRate: number;
  nowMs: number;
}

function evaluate(
  context: PlacementContext,
  available: AvailableServer,
): Omit<Candidate, 'meanWaitMs'> {
  const { state, attributes, nowMs } = context;
  const { server, serverState } = available;
  const { load } = serverState;
  const hasPrompt = attributes.promptParts.length > 0;
  const prefillTokens = hasPrompt ? load.prefixCache.uncachedTokens(attributes.promptParts) : 0;
  const recomputedTokens = Math.max(0, prefillTokens - ownTokens(attributes.promptParts));
  const waitMs = load.waitMs(nowMs) + slotWaitMs(serverState, server.entry.slots);
  const roundTripMs = extraRoundTripMs(state, server.entry.zone);
  const workMs = hasPrompt
    ? prefillTokens * load.msPerToken()
    : load.meanResidenceMs() + roundTripMs;
  const recomputeMs = recomputedTokens * load.msPerToken();
  const predictedMs = waitMs + workMs + (hasPrompt ? load.fixedLatencyMs() : 0);
  const regionCost = hasPrompt && roundTripMs >= OTHER_REGION_MS ? OTHER_REGION_COST_MS : 0;
  const isNotHome =
    recomputedTokens > 0 &&
    context.homeServerKey !== undefined &&
    context.homeServerKey !== server.key;
  const cost =
    predictedMs +
    recomputeMs * RECOMPUTE_WEIGHT +
    roundTripMs +
    regionCost +
    (available.failureRate - context.minFailureRate) * FAILURE_COST_MS +
    (isNotHome ? NOT_HOME_COST_MS : 0) +
    load.running();
  return {
    server,
    serverState,
    predictedMs,
    waitMs,
    workMs,
    prefillTokens,
    recomputedTokens,
    cost,
  };
}

/** Time until this router may send to a server: it has asked for a pause or stated a limit. */
export function requestedWaitMs(
  { servers, serverLimits, serviceDemand, routerCount }: DirectState,
  { key, entry }: RegisteredServer,
  nowMs: number,
): number {
  const deferralMs = (servers.get(key)?.deferredUntilMs ?? 0) - nowMs;
  const limit = serverLimits.get(key);
  if (limit === undefined) return deferralMs;
  const fraction = serviceDemand.ownFraction(entry.service, routerCount, nowMs);
  return Math.max(deferralMs, limit.waitMs(fraction, nowMs));
}

/** After failed connections, a server gets one probe request at a time once its backoff has elapsed. */
function isHealthy({ health, unansweredAttempts }: ServerState, nowMs: number): boolean {
  const avoidUntilMs = health.avoidUntilMs();
  return avoidUntilMs === 0 || (nowMs >= avoidUntilMs && unansweredAttempts === 0);
}

function filterAvailable(
  state: DirectState,
  servers: readonly RegisteredServer[],
  nowMs: number,
): AvailableServer[] {
  return servers
    .filter((server) => requestedWaitMs(state, server, nowMs) <= 0)
    .map((server) => ({ server, serverState: getServerState(state, server) }))
    .filter(({ serverState }) => isHealthy(serverState, nowMs))
    .map((available) => ({
      ...available,
      failureRate: available.serverState.health.failureRate(nowMs),
    }));
}

/** Time until the first server takes requests again of those that have asked for a pause or a limit; undefined if none has. */
export function remainingRequestedWaitMs(
  state: DirectState,
  service: string,
  nowMs: number,
): number | undefined {
  const waitsMs = state.registry
    .listAvailable(service)
    .map((server) => requestedWaitMs(state, server, nowMs))
    .filter((waitMs) => waitMs > 0);
  return waitsMs.length > 0 ? Math.min(...waitsMs) : undefined;
}

/** Condition on the servers that may get a request. */
export type ServerFilter = (server: RegisteredServer) => boolean;

/** Returns the available servers to consider: of all servers, if none of the selected ones is available. */
function listCandidates(
  state: DirectState,
  attributes: RequestAttributes,
  accepts: ServerFilter,
  draw: number,
  nowMs: number,
): AvailableServer[] {
  const { service } = attributes;
  const partId = findSharedPartId(attributes);
  const selected = getPool(state, service).select(partId, draw).filter(accepts);
  const available = filterAvailable(state, selected, nowMs);
  if (available.length > 0) return available;
  return filterAvailable(state, state.registry.listAvailable(service).filter(accepts), nowMs);
}

/**
 * Selects the accepted server with the lowest cost; undefined if none is available. Servers in `triedServerKeys` are the last resort.
 * @param draw random number in [0, 1) that varies which servers of a large service are considered
 */
export function chooseServer(
  state: DirectState,
  attributes: RequestAttributes,
  { triedServerKeys, accepts }: { triedServerKeys: readonly string[]; accepts: ServerFilter },
  draw: number,
  nowMs: number,
): Candidate | undefined {
  const available = listCandidates(state, attributes, accepts, draw, nowMs);
  const untried = available.filter(({ server }) => !triedServerKeys.includes(server.key));
  const servers = untried.length > 0 ? untried : available;
  if (servers.length === 0) return undefined;
  const context: PlacementContext = {
    state,
    attributes,
    homeServerKey: findHomeServer(state, attributes, servers),
    minFailureRate: Math.min(...servers.map(({ failureRate }) => failureRate)),
    nowMs,
  };
  const candidates = servers.map((server) => evaluate(context, server));
  const best = candidates.reduce((lowest, next) => (next.cost < lowest.cost ? next : lowest));
  const totalWaitMs = candidates.reduce((sum, { waitMs }) => sum + waitMs, 0);
  return { ...best, meanWaitMs: totalWaitMs / candidates.length };
}
