/** Chooses a backend server for a request. */
import { rendezvousPick } from '../hash/index.js';
import { ownTokens, sharedParts } from './prompt-parts.js';
import type { RegisteredServer } from './server-registry.js';
import { getServerState } from './state.js';
import type { DirectState, ServerState } from './state.js';
import type { RequestAttributes } from './types.js';

/** A server that could take the request. */
export interface Candidate {
  server: RegisteredServer;
  serverState: ServerState;
  /** Time until its first event, or its answer, would come. */
  predictedMs: number;
  waitMs: number;
  /** Mean wait at all servers that could take it. */
  meanWaitMs: number;
  /** Time for the request's own prompt or work. */
  workMs: number;
  /** Prompt tokens that the server reads. */
  prefillTokens: number;
  /** Those of them that are shared: another server may keep them. */
  recomputedTokens: number;
  /** What the choice goes by: lower is better. */
  cost: number;
}

/** Added round trip to a server in another availability zone of the region, and in another region. */
const OTHER_ZONE_MS = 2;
const OTHER_REGION_MS = 16;
/**
 * What a server in another region must be better by for a prompt: its bytes between regions are paid. 40 and 80 ms measured alike,
 * both above no such cost.
 */
const BETWEEN_REGIONS_COST_MS = 40;
/** Weight of reading shared parts again, beside the time it takes: it takes the engine's time from others. */
const READ_AGAIN_WEIGHT = 2.5;
/** Bias for the server that all routers would pick for new shared parts. */
const OTHER_HOME_MS = 40;
/** Cost of a server that fails all, against one that fails none. */
const FAILURE_COST_MS = 2000;

/** Added round trip to a server in `zone`. */
export function extraRoundTripMs({ options }: DirectState, zone: string): number {
  if (zone === options.zone) return 0;
  const sameRegion = options.regionByZone.get(zone) === options.regionByZone.get(options.zone);
  return sameRegion ? OTHER_ZONE_MS : OTHER_REGION_MS;
}

/** Wait for a place where all places are taken. */
function placeWaitMs(known: ServerState, slots: number): number {
  const over = known.load.running() - slots + 1;
  return over > 0 ? (over * known.load.meanResidenceMs()) / slots : 0;
}

/** A server that takes new work, with what is known of it. */
interface OpenServer {
  server: RegisteredServer;
  known: ServerState;
  failureShare: number;
}

/** The server that all routers pick for these shared parts; undefined where nothing is shared. */
function homeOf(
  state: DirectState,
  facts: RequestAttributes,
  open: readonly OpenServer[],
): string | undefined {
  const key = sharedParts(facts.promptParts).pop()?.id;
  if (key === undefined) return undefined;
  const keys = open.map(({ server }) => server.key);
  return rendezvousPick(state.options.hasher, key, keys);
}

interface Choice {
  state: DirectState;
  facts: RequestAttributes;
  home: string | undefined;
  /** Least share of failures among the servers: failures that all have say nothing of one. */
  commonFailures: number;
  nowMs: number;
}

function evaluate(choice: Choice, open: OpenServer): Omit<Candidate, 'meanWaitMs'> {
  const { state, facts, nowMs } = choice;
  const { server, known } = open;
  const { load } = known;
  const prompt = facts.promptParts.length > 0;
  const readTokens = prompt ? load.prefixCache.uncachedTokens(facts.promptParts) : 0;
  const againTokens = Math.max(0, readTokens - ownTokens(facts.promptParts));
  const waitMs = load.waitMs(nowMs) + placeWaitMs(known, server.entry.slots);
  const distance = extraRoundTripMs(state, server.entry.zone);
  const workMs = prompt ? readTokens * load.msPerToken() : load.meanResidenceMs() + distance;
  const againMs = againTokens * load.msPerToken();
  const predictedMs = waitMs + workMs + (prompt ? load.fixedLatencyMs() : 0);
  const regionCost = prompt && distance >= OTHER_REGION_MS ? BETWEEN_REGIONS_COST_MS : 0;
  const away = againTokens > 0 && choice.home !== undefined && choice.home !== server.key;
  const cost =
    predictedMs +
    againMs * READ_AGAIN_WEIGHT +
    distance +
    regionCost +
    (open.failureShare - choice.commonFailures) * FAILURE_COST_MS +
    (away ? OTHER_HOME_MS : 0) +
    load.running();
  return {
    server,
    serverState: known,
    predictedMs,
    waitMs,
    workMs,
    prefillTokens: readTokens,
    recomputedTokens: againTokens,
    cost,
  };
}

/** A server that wasn't reached gets one trial at a time, once its pause is over. */
function isOpen({ health, unansweredAttempts: trials }: ServerState, nowMs: number): boolean {
  const until = health.avoidUntilMs();
  return until === 0 || (nowMs >= until && trials === 0);
}

function openServers(state: DirectState, service: string, nowMs: number): OpenServer[] {
  return state.registry
    .listAvailable(service)
    .map((server) => ({ server, known: getServerState(state, server) }))
    .filter(({ known }) => isOpen(known, nowMs))
    .map((open) => ({ ...open, failureShare: open.known.health.failureRate(nowMs) }));
}

/** Best server for a request, or undefined where none can be used. Servers that had the request already come last. */
export function chooseServer(
  state: DirectState,
  facts: RequestAttributes,
  tried: readonly string[],
  nowMs: number,
): Candidate | undefined {
  const open = openServers(state, facts.service, nowMs);
  const fresh = open.filter(({ server }) => !tried.includes(server.key));
  const servers = fresh.length > 0 ? fresh : open;
  if (servers.length === 0) return undefined;
  const choice: Choice = {
    state,
    facts,
    home: homeOf(state, facts, servers),
    commonFailures: Math.min(...servers.map(({ failureShare }) => failureShare)),
    nowMs,
  };
  const candidates = servers.map((server) => evaluate(choice, server));
  const best = candidates.reduce((least, next) => (next.cost < least.cost ? next : least));
  const waits = candidates.reduce((sum, { waitMs }) => sum + waitMs, 0);
  return { ...best, meanWaitMs: waits / candidates.length };
}
