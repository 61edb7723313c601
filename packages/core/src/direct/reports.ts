/** Creates the load reports that a router sends to its peers and applies those that it receives. */
import type { ReportedServerLoad, RouterReport } from './events.js';
import { getServerState } from './state.js';
import type { DirectState, ServerState } from './state.js';

/**
 * Applies a peer's report. Unregistered servers are skipped; later reports repeat their running requests. Returns the keys of the
 * servers that are now known to leave.
 */
export function applyPeerReport(state: DirectState, report: RouterReport, nowMs: number): string[] {
  report.loads.forEach((load) => {
    const server = state.registry.get(load.serverKey);
    if (server === undefined) return;
    const serverState = getServerState(state, server);
    serverState.load.recordPeerReport(report.router, load.running, load.sentTokens, nowMs);
    serverState.load.prefixCache.record(load.promptParts.map(([id, tokens]) => ({ id, tokens })));
  });
  report.accounts.forEach(([account, requested, served]) => {
    state.accountUsage.recordPeerTotals(report.router, account, { requested, served }, nowMs);
  });
  return report.leaving.filter((serverKey) => state.registry.markLeaving(serverKey));
}

/** Removes a disconnected peer together with its running requests. */
export function removePeer(state: DirectState, router: string): void {
  state.servers.forEach(({ load }) => load.removePeer(router));
  state.accountUsage.removePeer(router);
}

/** Creates incremental load reports. */
export interface Reporter {
  /** Returns the changes since the last report, or undefined if there is nothing to report. */
  compose(state: DirectState, nowMs: number): RouterReport | undefined;
}

/**
 * Period of full reports, which also cover ended requests and accounts' totals. Sent prompts are reported immediately, because
 * otherwise all routers would send their next prompts to the same engine.
 */
const FULL_REPORT_PERIOD_MS = 150;

interface ReportedCounts {
  running: number;
  sentTokens: number;
}

/** Creates the reporter of the router with this name and incarnation. */
export function createReporter(router: string): Reporter {
  const reportedByServer = new Map<string, ReportedCounts>();
  const reportedTokensByAccount = new Map<string, number>();
  let lastFullReportAtMs = Number.NEGATIVE_INFINITY;

  function reportLoad(
    serverKey: string,
    serverState: ServerState,
    isFull: boolean,
  ): ReportedServerLoad[] {
    const { load, unreportedParts } = serverState;
    const current: ReportedCounts = { running: load.ownRunning(), sentTokens: load.sentTokens() };
    const reported = reportedByServer.get(serverKey) ?? { running: 0, sentTokens: 0 };
    const sentTokens = current.sentTokens - reported.sentTokens;
    const hasChanged = sentTokens > 0 || (isFull && current.running !== reported.running);
    if (!hasChanged) return [];
    reportedByServer.set(serverKey, current);
    const promptParts = unreportedParts
      .splice(0)
      .map(({ id, tokens }): [string, number] => [id, tokens]);
    return [{ serverKey, running: current.running, sentTokens, promptParts }];
  }

  function reportAccounts(state: DirectState): RouterReport['accounts'] {
    const accounts: RouterReport['accounts'] = [];
    state.accountUsage.ownTotals().forEach(({ requested, served }, account) => {
      if (reportedTokensByAccount.get(account) === requested + served) return;
      reportedTokensByAccount.set(account, requested + served);
      accounts.push([account, Math.round(requested), Math.round(served)]);
    });
    return accounts;
  }

  /** Removes the counts of unregistered servers. A key that is registered again is the same run of the server with new counters. */
  function removeUnregistered(state: DirectState): void {
    reportedByServer.forEach((_reported, serverKey) => {
      if (!state.servers.has(serverKey)) reportedByServer.delete(serverKey);
    });
  }

  return {
    compose(state, nowMs) {
      const isFull = nowMs - lastFullReportAtMs >= FULL_REPORT_PERIOD_MS;
      if (isFull) {
        lastFullReportAtMs = nowMs;
        removeUnregistered(state);
      }
      const loads = [...state.servers].flatMap(([key, serverState]) =>
        reportLoad(key, serverState, isFull),
      );
      const accounts = isFull ? reportAccounts(state) : [];
      const leaving = state.leavingNews.splice(0);
      const hasNews = loads.length + accounts.length + leaving.length > 0;
      return hasNews ? { router, loads, accounts, leaving } : undefined;
    },
  };
}
