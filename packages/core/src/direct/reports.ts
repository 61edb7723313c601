/** Reports of a router's own load to its peers, and what they change. */
import type { ReportedServerLoad, RouterReport } from './events.js';
import { getServerState } from './state.js';
import type { DirectState, ServerState } from './state.js';

/** Applies a peer's report. Servers that this router doesn't know yet are left out; their totals come again. */
export function applyPeerReport(state: DirectState, report: RouterReport, nowMs: number): void {
  report.loads.forEach((load) => {
    const server = state.registry.get(load.serverKey);
    if (server === undefined) return;
    const known = getServerState(state, server);
    known.load.recordPeerReport(report.router, load.running, load.sentTokens, nowMs);
    known.load.prefixCache.record(load.promptParts.map(([id, tokens]) => ({ id, tokens })));
  });
  report.accounts.forEach(([account, asked, served]) => {
    state.accountUsage.recordPeerTotals(
      report.router,
      account,
      { requested: asked, served },
      nowMs,
    );
  });
}

/** Forgets a peer that is gone: what it had running ends with it. */
export function removePeer(state: DirectState, router: string): void {
  state.servers.forEach(({ load }) => load.removePeer(router));
  state.accountUsage.removePeer(router);
}

/** Composes reports; each holds what changed since the last one. */
export interface Reporter {
  /** Undefined where nothing needs telling yet. */
  compose(state: DirectState, nowMs: number): RouterReport | undefined;
}

/**
 * Time between reports of what is of less weight: requests that ended, and accounts' totals. Prompts that were sent are told at
 * once, since all routers would send the next ones to the same engine.
 */
const WHOLE_REPORT_MS = 150;

interface ToldLoad {
  running: number;
  sentTokens: number;
}

/** Creates the reporter of one router. */
export function createReporter(router: string): Reporter {
  const toldLoads = new Map<string, ToldLoad>();
  const toldAccounts = new Map<string, number>();
  let wholeAtMs = Number.NEGATIVE_INFINITY;

  function loadOf(server: string, known: ServerState, whole: boolean): ReportedServerLoad[] {
    const { load, unreportedParts } = known;
    const now: ToldLoad = { running: load.ownRunning(), sentTokens: load.sentTokens() };
    const told = toldLoads.get(server) ?? { running: 0, sentTokens: 0 };
    const sentTokens = now.sentTokens - told.sentTokens;
    const changed = sentTokens > 0 || (whole && now.running !== told.running);
    if (!changed) return [];
    toldLoads.set(server, now);
    const parts = unreportedParts.splice(0).map(({ id, tokens }): [string, number] => [id, tokens]);
    return [{ serverKey: server, running: now.running, sentTokens, promptParts: parts }];
  }

  function changedAccounts(state: DirectState): RouterReport['accounts'] {
    const accounts: RouterReport['accounts'] = [];
    state.accountUsage.ownTotals().forEach(({ requested: asked, served }, account) => {
      if (toldAccounts.get(account) === asked + served) return;
      toldAccounts.set(account, asked + served);
      accounts.push([account, Math.round(asked), Math.round(served)]);
    });
    return accounts;
  }

  /** Servers that are gone may come again under the same key only with all they did before. */
  function forgetGone(state: DirectState): void {
    toldLoads.forEach((_told, server) => {
      if (!state.servers.has(server)) toldLoads.delete(server);
    });
  }

  return {
    compose(state, nowMs) {
      const whole = nowMs - wholeAtMs >= WHOLE_REPORT_MS;
      if (whole) {
        wholeAtMs = nowMs;
        forgetGone(state);
      }
      const loads = [...state.servers].flatMap(([key, known]) => loadOf(key, known, whole));
      const accounts = whole ? changedAccounts(state) : [];
      return loads.length + accounts.length > 0 ? { router, loads, accounts } : undefined;
    },
  };
}
