/** Chooses a backend server for a request. */
import { rendezvousWeight } from '../hash/index.js';
import type { KnownServer } from './server-registry.js';
import { serverState } from './state.js';
import type { DirectState, ServerState } from './state.js';
import type { RequestFacts } from './types.js';

/** A server that could take the request. */
export interface Candidate {
  server: KnownServer;
  known: ServerState;
  /** Time until its first event, or its answer, would come. */
  predictedMs: number;
  waitMs: number;
  /** Mean wait at all servers that could take it. */
  meanWaitMs: number;
  /** Time for the request's own prompt or work. */
  workMs: number;
  /** Prompt tokens that the server reads. */
  readTokens: number;
  /** What the choice goes by: lower is better. */
  cost: number;
}

/** Added round trip to a server in another availability zone of the region, and in another region. */
const OTHER_ZONE_MS = 2;
const OTHER_REGION_MS = 16;
/** Weight of reading shared parts again, beside the time it takes: it takes the engine's time from others. */
const READ_AGAIN_WEIGHT = 2.5;
/** Bias for the server that all routers would pick for new shared parts. */
const OTHER_HOME_MS = 40;
/** Cost of a server that fails all, against one that fails none. */
const FAILURE_COST_MS = 2000;

function distanceMs(state: DirectState, zone: string): number {
  const { options } = state;
  if (zone === options.zone) return 0;
  const sameRegion = options.regions.get(zone) === options.regions.get(options.zone);
  return sameRegion ? OTHER_ZONE_MS : OTHER_REGION_MS;
}

/** Wait for a place where all places are taken. */
function placeWaitMs(known: ServerState, slots: number): number {
  const over = known.load.running() - slots + 1;
  return over > 0 ? (over * known.load.meanStayMs()) / slots : 0;
}

/** Key by which requests with the same shared parts find the same server; the last part is the request's own. */
function sharedKey(facts: RequestFacts): string | undefined {
  return facts.parts.length > 1 ? facts.parts[facts.parts.length - 2]!.id : undefined;
}

function homeOf(state: DirectState, servers: readonly KnownServer[], key: string): string {
  let best = '';
  let bestWeight = -1;
  servers.forEach((server) => {
    const weight = rendezvousWeight(state.options.hasher, key, server.key);
    if (weight > bestWeight) {
      best = server.key;
      bestWeight = weight;
    }
  });
  return best;
}

interface Choice {
  state: DirectState;
  facts: RequestFacts;
  home: string | undefined;
  /** Least share of failures among the servers: failures that all have say nothing of one. */
  commonFailures: number;
  nowMs: number;
}

function evaluate(choice: Choice, server: KnownServer): Omit<Candidate, 'meanWaitMs'> {
  const { state, facts, nowMs } = choice;
  const known = serverState(state, server);
  const { load, health } = known;
  const prompt = facts.parts.length > 0;
  const readTokens = prompt ? load.parts.tokensToRead(facts.parts) : 0;
  const ownTokens = prompt ? facts.parts[facts.parts.length - 1]!.tokens : 0;
  const waitMs = load.waitMs(nowMs) + placeWaitMs(known, server.entry.slots);
  const distance = distanceMs(state, server.entry.zone);
  const workMs = prompt ? readTokens * load.msPerToken() : load.meanStayMs() + distance;
  const again = Math.max(0, readTokens - ownTokens) * load.msPerToken();
  const failures = Math.max(0, health.failureShare(nowMs) - choice.commonFailures);
  const predictedMs = waitMs + workMs + (prompt ? load.baseMs() : 0);
  const away = again > 0 && choice.home !== undefined && choice.home !== server.key;
  const cost =
    predictedMs +
    again * READ_AGAIN_WEIGHT +
    distance +
    failures * FAILURE_COST_MS +
    (away ? OTHER_HOME_MS : 0) +
    load.running();
  return { server, known, predictedMs, waitMs, workMs, readTokens, cost };
}

/** A server that wasn't reached gets one trial at a time, once its pause is over. */
function isOpen(state: DirectState, server: KnownServer, nowMs: number): boolean {
  const { health, trials } = serverState(state, server);
  const until = health.avoidUntilMs();
  return until === 0 || (nowMs >= until && trials === 0);
}

/** Best server for a request, or undefined where none can be used. Servers that had the request already come last. */
export function chooseServer(
  state: DirectState,
  facts: RequestFacts,
  tried: readonly string[],
  nowMs: number,
): Candidate | undefined {
  const all = state.registry.open(facts.service);
  const open = all.filter((server) => isOpen(state, server, nowMs));
  const fresh = open.filter((server) => !tried.includes(server.key));
  const servers = fresh.length > 0 ? fresh : open;
  if (servers.length === 0) return undefined;
  const key = sharedKey(facts);
  const shares = servers.map((each) => serverState(state, each).health.failureShare(nowMs));
  const choice: Choice = {
    state,
    facts,
    home: key === undefined ? undefined : homeOf(state, servers, key),
    commonFailures: Math.min(...shares),
    nowMs,
  };
  const candidates = servers.map((server) => evaluate(choice, server));
  const best = candidates.reduce((least, next) => (next.cost < least.cost ? next : least));
  const waits = candidates.reduce((sum, { waitMs }) => sum + waitMs, 0);
  return { ...best, meanWaitMs: waits / candidates.length };
}
