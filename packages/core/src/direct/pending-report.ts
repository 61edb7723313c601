/** Changes that wait for the next report on one link; several changes of one server or account cost one entry. */
import { createLatestStarts } from './answer-starts.js';
import { createCrashNews, hasCrashNews, mergeCrashNews } from './crashes/crash-news.js';
import type { CrashNews } from './crashes/crash-news.js';
import type { ReportedServerLoad, ReportedStart, RouterReport } from './events.js';
import type { RequestCounts } from './service-demand.js';

/** Report without the values that are read when it is sent. */
export interface PendingChanges {
  loads: Omit<ReportedServerLoad, 'running'>[];
  accounts: RouterReport['accounts'];
  leaving: string[];
  storeKinds: string[];
  crashNews: CrashNews;
  /** Keys of the servers whose limit has changed. */
  limitedKeys: string[];
  demand: RequestCounts;
  /** Latest starts of answers, by server. */
  starts: ReportedStart[];
}

/** Changes of one link. */
export interface PendingReport {
  add(report: RouterReport, nowMs: number): void;
  /** Adds a server whose running requests have changed. */
  addServer(serverKey: string): void;
  addCrashNews(news: CrashNews): void;
  /** Adds a server whose limit has changed. */
  addLimit(serverKey: string): void;
  /** Adds a kind of stored objects of which there is news. */
  addStoreKind(kind: string): void;
  /** Returns whether there is nothing to send. Starts of answers alone are sent with later changes. */
  isEmpty(): boolean;
  /** Removes and returns the changes, the loads of at most `maxLoads` servers. */
  take(maxLoads: number, nowMs: number): PendingChanges;
}

interface PendingLoad {
  sentTokens: number;
  sentRequests: number;
  promptParts: [string, number][];
}

/** Maximum number of prompt parts of one server, of which the latest are kept: a link may take no reports for a while. */
export const MAX_PENDING_PARTS = 512;

/** Creates a report without changes. */
export function createPendingReport(): PendingReport {
  const loads = new Map<string, PendingLoad>();
  const accounts = new Map<string, { requested: number; served: number }>();
  const leaving = new Set<string>();
  const storeKinds = new Set<string>();
  const limitedKeys = new Set<string>();
  const demand = new Map<string, number>();
  const starts = createLatestStarts();
  const lists = [loads, accounts, leaving, storeKinds, limitedKeys, demand];
  let crashNews = createCrashNews();

  function addCrashNews(news: CrashNews): void {
    if (hasCrashNews(news)) crashNews = mergeCrashNews(crashNews, news);
  }

  function getLoad(serverKey: string): PendingLoad {
    const known = loads.get(serverKey);
    if (known !== undefined) return known;
    const load = { sentTokens: 0, sentRequests: 0, promptParts: [] };
    loads.set(serverKey, load);
    return load;
  }

  function addAccount([account, requested, served]: RouterReport['accounts'][number]): void {
    const pending = accounts.get(account) ?? { requested: 0, served: 0 };
    pending.requested += requested;
    pending.served += served;
    accounts.set(account, pending);
  }

  const listAccounts = (): RouterReport['accounts'] =>
    [...accounts].map(([account, { requested, served }]) => [account, requested, served]);

  function takeLoads(maxLoads: number): PendingChanges['loads'] {
    const taken = [...loads].slice(0, maxLoads);
    taken.forEach(([serverKey]) => loads.delete(serverKey));
    return taken.map(([serverKey, load]) => ({ serverKey, ...load }));
  }

  return {
    add(report, nowMs) {
      report.loads.forEach(({ serverKey, sentTokens, sentRequests, promptParts }) => {
        const load = getLoad(serverKey);
        load.sentTokens += sentTokens;
        load.sentRequests += sentRequests;
        load.promptParts = [...load.promptParts, ...promptParts].slice(-MAX_PENDING_PARTS);
      });
      report.accounts.forEach(addAccount);
      report.leaving.forEach((serverKey) => leaving.add(serverKey));
      addCrashNews(report.crashNews);
      report.limits.forEach(({ serverKey }) => limitedKeys.add(serverKey));
      report.demand.forEach(([service, requests]) =>
        demand.set(service, (demand.get(service) ?? 0) + requests),
      );
      report.starts.forEach((start) => starts.add(start, nowMs));
    },
    addServer: (serverKey) => {
      getLoad(serverKey);
    },
    addCrashNews,
    addLimit: (serverKey) => {
      limitedKeys.add(serverKey);
    },
    addStoreKind: (kind) => {
      storeKinds.add(kind);
    },
    isEmpty: () => lists.every(({ size }) => size === 0) && !hasCrashNews(crashNews),
    take(maxLoads, nowMs) {
      const changes: PendingChanges = {
        loads: takeLoads(maxLoads),
        accounts: listAccounts(),
        leaving: [...leaving],
        storeKinds: [...storeKinds],
        crashNews,
        limitedKeys: [...limitedKeys],
        demand: [...demand],
        starts: starts.take(nowMs),
      };
      lists.forEach((pending) => pending !== loads && pending.clear());
      crashNews = createCrashNews();
      return changes;
    },
  };
}
