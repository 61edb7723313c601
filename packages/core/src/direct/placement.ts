/** Selects a backend server for a request. */
import { createCandidatePool } from './servers/candidate-pool.js';
import type { CandidatePool } from './servers/candidate-pool.js';
import { ownTokens, sharedPartIds } from './prompt-parts.js';
import { createEligibility } from './servers/eligibility.js';
import type { EligibleServer } from './servers/eligibility.js';
import type { RegisteredServer } from './servers/server-index.js';
import type { DirectState, OpenRequest, ServerState } from './state.js';
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
  available: readonly EligibleServer[],
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
  available: EligibleServer,
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

/** Returns the eligible servers to consider: of all servers, if none of the selected ones is eligible. */
function listCandidates(
  state: DirectState,
  request: OpenRequest,
  draw: number,
  nowMs: number,
): EligibleServer[] {
  const { service } = request.attributes;
  const partId = findSharedPartId(request.attributes);
  const eligibility = createEligibility(state, request);
  const eligible = eligibility.filter(getPool(state, service).select(partId, draw), nowMs);
  if (eligible.length > 0) return eligible;
  return eligibility.filter(state.registry.listAvailable(service), nowMs);
}

/**
 * Selects the eligible server with the lowest cost; undefined if there is none. Servers that were tried are the last resort.
 * @param draw random number in [0, 1) that varies which servers of a large service are considered
 */
export function chooseServer(
  state: DirectState,
  request: OpenRequest,
  draw: number,
  nowMs: number,
): Candidate | undefined {
  const { attributes, triedServerKeys } = request;
  const eligible = listCandidates(state, request, draw, nowMs);
  const untried = eligible.filter(({ server }) => !triedServerKeys.includes(server.key));
  const servers = untried.length > 0 ? untried : eligible;
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
