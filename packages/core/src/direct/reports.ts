/** Creates the load reports that a router sends to its peers and applies those that it receives. */
import { describeStart, readStart } from './answer-starts.js';
import { createCrashNews, hasCrashNews } from './crashes/crash-news.js';
import type { ReportedServerLoad, ReportedStart, RouterReport } from './events.js';
import { getServerState } from './state.js';
import type { DirectState, ServerState } from './state.js';

/** Requests that were sent earlier say nothing about the present wait. */
const MAX_START_AGE_MS = 10_000;

/** Ignores a start that can't be right, and one of a server that isn't registered. */
function applyStart(state: DirectState, start: ReportedStart, nowMs: number): void {
  const { serverKey, sentAgeMs, begunAgeMs } = start;
  const server = state.registry.get(serverKey);
  const isPossible = begunAgeMs >= 0 && begunAgeMs <= sentAgeMs && sentAgeMs <= MAX_START_AGE_MS;
  if (server === undefined || !isPossible) return;
  state.totals.peerStarts += 1;
  getServerState(state, server).load.recordPeerStart(readStart(start, nowMs));
}

/**
 * Applies a peer's report. Unregistered servers are skipped; later reports repeat their running requests. Returns the keys of the
 * servers that are now known to leave.
 */
export function applyPeerReport(state: DirectState, report: RouterReport, nowMs: number): string[] {
  state.serviceDemand.recordPeers(report.demand, nowMs);
  report.loads.forEach((load) => {
    state.serverLimits.get(load.serverKey)?.recordPeerSends(load.sentRequests, nowMs);
    const server = state.registry.get(load.serverKey);
    if (server === undefined) return;
    const serverState = getServerState(state, server);
    serverState.load.recordPeerReport(report.router, load.running, load.sentTokens, nowMs);
    serverState.load.prefixCache.record(load.promptParts.map(([id, tokens]) => ({ id, tokens })));
  });
  // After the loads, whose tokens may have been sent before the request that has been answered.
  report.starts.forEach((start) => applyStart(state, start, nowMs));
  report.accounts.forEach(([account, requested, served]) => {
    state.accountUsage.recordPeerTokens(account, { requested, served }, nowMs);
  });
  return report.leaving.filter((serverKey) => state.registry.markLeaving(serverKey));
}

/** Removes a disconnected peer together with its running requests. */
export function removePeer(state: DirectState, router: string): void {
  state.servers.forEach(({ load }) => load.removePeer(router));
}

/** Returns a report without content. */
export function createEmptyReport(router: string): RouterReport {
  return {
    router,
    loads: [],
    accounts: [],
    leaving: [],
    storeNews: [],
    crashNews: createCrashNews(),
    limits: [],
    demand: [],
    starts: [],
  };
}

/** Creates reports of this router's own load. */
export interface Reporter {
  /** Returns the changes since the last report, or undefined if there is nothing to report. */
  compose(state: DirectState, nowMs: number): RouterReport | undefined;
}

/**
 * Period of full reports, which also cover ended requests, starts of answers and accounts' tokens. Sent prompts are reported immediately, because
 * otherwise all routers would send their next prompts to the same engine.
 */
const FULL_REPORT_PERIOD_MS = 150;

/** Creates the reporter of the router with this name and incarnation. */
export function createReporter(router: string): Reporter {
  const reportedTokensByServer = new Map<string, number>();
  let lastFullReportAtMs = Number.NEGATIVE_INFINITY;

  function reportLoad(serverKey: string, serverState: ServerState): ReportedServerLoad {
    const { load, unreportedParts, unreportedSends } = serverState;
    const reportedTokens = reportedTokensByServer.get(serverKey) ?? 0;
    const sentTokens = Math.max(0, load.sentTokens() - reportedTokens);
    reportedTokensByServer.set(serverKey, load.sentTokens());
    const promptParts = unreportedParts
      .splice(0)
      .map(({ id, tokens }): [string, number] => [id, tokens]);
    serverState.unreportedSends = 0;
    const running = load.ownRunning();
    return { serverKey, running, sentTokens, sentRequests: unreportedSends, promptParts };
  }

  /** A server that is gone has no requests; a key that is registered again is the same run with new counters. */
  function reportChange(state: DirectState, serverKey: string): ReportedServerLoad {
    const serverState = state.servers.get(serverKey);
    if (serverState !== undefined) return reportLoad(serverKey, serverState);
    reportedTokensByServer.delete(serverKey);
    return { serverKey, running: 0, sentTokens: 0, sentRequests: 0, promptParts: [] };
  }

  function takeStarts(state: DirectState, nowMs: number): ReportedStart[] {
    const serverKeys = [...state.begunServerKeys];
    state.begunServerKeys.clear();
    return serverKeys.flatMap((serverKey) => {
      const start = state.servers.get(serverKey)?.load.takeObservedStart();
      return start === undefined ? [] : describeStart(serverKey, start, nowMs);
    });
  }

  function takeAccounts(state: DirectState): RouterReport['accounts'] {
    return [...state.accountUsage.takeOwnTokens()].map(
      ([account, { requested, served }]): [string, number, number] => [
        account,
        Math.round(requested),
        Math.round(served),
      ],
    );
  }

  return {
    compose(state, nowMs) {
      const isFull = nowMs - lastFullReportAtMs >= FULL_REPORT_PERIOD_MS;
      if (isFull) lastFullReportAtMs = nowMs;
      const changedKeys = new Set(state.sentServerKeys);
      state.sentServerKeys.clear();
      if (isFull) {
        state.endedServerKeys.forEach((key) => changedKeys.add(key));
        state.endedServerKeys.clear();
      }
      const loads = [...changedKeys].map((key) => reportChange(state, key));
      const starts = isFull ? takeStarts(state, nowMs) : [];
      const accounts = isFull ? takeAccounts(state) : [];
      const demand = isFull ? state.serviceDemand.takeOwn() : [];
      const leaving = state.leavingNews.splice(0);
      const limits = state.serverLimits.describe(state.serverLimits.takeNews(), nowMs);
      const { news: crashNews } = state.crashEvidence;
      state.crashEvidence.news = createCrashNews();
      const changes = [loads, starts, accounts, demand, leaving, limits];
      const hasNews = changes.some(({ length }) => length > 0) || hasCrashNews(crashNews);
      const report = createEmptyReport(router);
      return hasNews
        ? { ...report, loads, starts, accounts, demand, leaving, crashNews, limits }
        : undefined;
    },
  };
}
