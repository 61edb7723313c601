/** Reports of a router's own load to its peers, and what they change. */
import type { ReportedLoad, RouterReport } from './events.js';
import { serverState } from './state.js';
import type { DirectState } from './state.js';

/** Applies a peer's report. Servers that this router doesn't know yet are left out; their totals come again. */
export function applyReport(state: DirectState, report: RouterReport, nowMs: number): void {
  report.loads.forEach((load) => {
    const server = state.registry.get(load.server);
    if (server === undefined) return;
    const known = serverState(state, server);
    known.load.notePeer(report.router, load.running, load.sentTokens, nowMs);
    known.load.parts.note(load.parts.map(([id, tokens]) => ({ id, tokens })));
  });
  report.accounts.forEach(([account, asked, served]) => {
    state.usage.notePeer(report.router, account, { asked, served }, nowMs);
  });
}

/** Forgets a peer that is gone: what it had running ends with it. */
export function forgetPeer(state: DirectState, router: string): void {
  state.servers.forEach(({ load }) => load.forgetPeer(router));
  state.usage.forgetPeer(router);
}

/** Composes reports; each holds what changed since the last one. */
export interface Reporter {
  compose(state: DirectState): RouterReport | undefined;
}

/** Creates the reporter of one router. */
export function createReporter(router: string): Reporter {
  const lastLoads = new Map<string, { running: number; sentTokens: number }>();
  const lastAccounts = new Map<string, number>();

  function changedLoads(state: DirectState): ReportedLoad[] {
    const loads: ReportedLoad[] = [];
    state.servers.forEach(({ load, unreportedParts }, server) => {
      const running = load.ownRunning();
      const sentTokens = load.sentTokens();
      const before = lastLoads.get(server);
      if (before?.running === running && before.sentTokens === sentTokens) return;
      lastLoads.set(server, { running, sentTokens });
      const parts = unreportedParts
        .splice(0)
        .map(({ id, tokens }): [string, number] => [id, tokens]);
      loads.push({ server, running, sentTokens: sentTokens - (before?.sentTokens ?? 0), parts });
    });
    return loads;
  }

  function changedAccounts(state: DirectState): RouterReport['accounts'] {
    const accounts: RouterReport['accounts'] = [];
    state.usage.ownTotals().forEach(({ asked, served }, account) => {
      if (lastAccounts.get(account) === asked + served) return;
      lastAccounts.set(account, asked + served);
      accounts.push([account, Math.round(asked), Math.round(served)]);
    });
    return accounts;
  }

  return {
    compose(state) {
      const loads = changedLoads(state);
      const accounts = changedAccounts(state);
      return loads.length + accounts.length > 0 ? { router, loads, accounts } : undefined;
    },
  };
}
