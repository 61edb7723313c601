/** What a direct router believes, as plain data for summaries and dumps. */
import type { DirectState, DirectTotals } from './state.js';

/** What is believed of one backend server. */
export interface ServerDescription {
  server: string;
  /** Undefined once its entry is gone. */
  service: string | undefined;
  draining: boolean | undefined;
  /** Requests of all routers that run there, as far as known. */
  running: number;
  waitMs: number;
  /** Prompt tokens that it reads in a millisecond, as learned. */
  tokensPerMs: number;
  keptTokens: number;
  /** Recent share of failed attempts. */
  failureShare: number;
  /** Time for which it gets no new work but one trial. */
  avoidedForMs: number;
}

/** What a router believes. */
export interface StateDescription {
  configuration: number | undefined;
  listed: boolean;
  routers: number;
  /** Requests in hand. */
  open: number;
  totals: DirectTotals;
  servers: ServerDescription[];
}

const round = (value: number): number => Math.round(value * 100) / 100;

/** Describes the state at a time. */
export function describeState(state: DirectState, nowMs: number): StateDescription {
  const servers = [...state.servers].map(([server, { load, health }]) => {
    const entry = state.registry.get(server)?.entry;
    return {
      server,
      service: entry?.service,
      draining: entry?.draining,
      running: load.running(),
      waitMs: Math.round(load.waitMs(nowMs)),
      tokensPerMs: round(1 / load.msPerToken()),
      keptTokens: load.prefixCache.cachedTokens(),
      failureShare: round(health.failureRate(nowMs)),
      avoidedForMs: Math.max(0, Math.round(health.avoidUntilMs() - nowMs)),
    };
  });
  return {
    configuration: state.routeTable?.config.version,
    listed: state.hasServerList,
    routers: state.routerCount,
    open: state.requests.size,
    totals: { ...state.totals },
    servers,
  };
}
