/** Description of a direct router's state as plain data, for summaries and dumps. */
import type { BlockedTraits } from './crashes/blocked-traits.js';
import type { DirectState, DirectTotals } from './state.js';

/** Description of one backend server. */
export interface ServerDescription {
  server: string;
  /** Undefined once the server's entry has been removed. */
  service: string | undefined;
  draining: boolean | undefined;
  /** Number of all routers' requests in progress, as of the last reports. */
  running: number;
  /** Estimated time until the server starts to process a new prompt. */
  waitMs: number;
  /** Estimated prefill throughput in prompt tokens per millisecond. */
  tokensPerMs: number;
  /** Estimated tokens in the engine's prefix cache. */
  keptTokens: number;
  /** Recent fraction of failed attempts. */
  failureShare: number;
  /** Requests per second that the server takes from all routers together; undefined if it has stated no limit. */
  requestsPerSecond: number | undefined;
  /** Remaining time for which the server is cold. */
  coldForMs: number;
  /** Remaining backoff during which the server gets no requests. */
  avoidedForMs: number;
}

/** Description of a router's state. */
export interface StateDescription {
  /** Version of the configuration in force. */
  configuration: number | undefined;
  /** True once a full listing of servers has been received. */
  listed: boolean;
  /** Evacuated availability zones, and the time since this router learnt of each. */
  evacuations: { zone: string; revision: number; knownForMs: number }[];
  routers: number;
  /** Number of requests in progress. */
  open: number;
  totals: DirectTotals;
  servers: ServerDescription[];
  /** Traits of the requests that are refused because they crash servers. */
  blockedTraits: BlockedTraits[];
  /** Versions of the servers' software at which streams may begin, by service. */
  versions: Record<string, string[]>;
  /** Number of streams whose version is remembered. */
  rememberedStreams: number;
}

const roundToHundredths = (value: number): number => Math.round(value * 100) / 100;

/** Describes the state at time `nowMs`. */
export function describeState(state: DirectState, nowMs: number): StateDescription {
  const servers = [...state.servers].map(([server, { load, health }]) => {
    const entry = state.registry.get(server)?.entry;
    return {
      server,
      service: entry?.service,
      draining: entry?.draining,
      running: load.running(),
      waitMs: Math.round(load.waitMs(nowMs)),
      fixedLatencyMs: Math.round(load.fixedLatencyMs()),
      tokensPerMs: roundToHundredths(1 / load.msPerToken()),
      keptTokens: load.prefixCache.cachedTokens(),
      failureShare: roundToHundredths(health.failureRate(nowMs)),
      requestsPerSecond: state.serverLimits.get(server)?.requestsPerSecond(),
      coldForMs: Math.round(state.warmUpLimits.coldForMs(server, nowMs)),
      avoidedForMs: Math.max(0, Math.round(health.avoidUntilMs() - nowMs)),
    };
  });
  return {
    configuration: state.routeTable?.config.version,
    listed: state.hasServerList,
    evacuations: state.evacuations
      .list()
      .map(({ zone, revision, sinceMs }) => ({ zone, revision, knownForMs: nowMs - sinceMs })),
    routers: state.routerCount,
    open: state.requests.size,
    totals: { ...state.totals },
    servers,
    blockedTraits: state.crashEvidence.blocks.listActive(nowMs),
    versions: state.versions.recorded.describe(),
    rememberedStreams: state.versions.journal.size(),
  };
}
