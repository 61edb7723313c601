/**
 * Sums of the load reports that pass a router. A report from one link changes the sums for the links to which it may be passed on;
 * what changed is sent with the next report of each link, so several changes of one server cost one entry.
 */
import type { ReportedServerLoad, RouterReport } from './events.js';
import type { StoreNews } from './store-news.js';

/** Kind of a source or recipient of reports. */
export const LinkKind = {
  /** This router itself. */
  Own: 'own',
  /** Member of the group for which this router is the hub. */
  Member: 'member',
  /** Hub of the own group. */
  Hub: 'hub',
  /** Hub of another group, which sends reports to this router. */
  OtherHubIn: 'other-hub-in',
  /** Hub of another group, to which this router sends reports. */
  OtherHubOut: 'other-hub-out',
} as const;
export type LinkKind = (typeof LinkKind)[keyof typeof LinkKind];

/** Exchange of one router. */
export interface ReportExchange {
  /** Adds a link; recipients get all current sums with their first report. */
  open(link: string, kind: LinkKind): void;
  /** Removes a link with everything that it has reported. */
  close(link: string): void;
  /** Applies a report from a link. */
  receive(link: string, report: RouterReport, nowMs: number): void;
  /** Passes on the latest news of the store, which this router has from its own calls. */
  announceStoreNews(kind: string): void;
  /** Returns what has changed for a link since its last report, or undefined if nothing has. */
  compose(link: string, nowMs: number): RouterReport | undefined;
  hasNews(link: string): boolean;
}

/** Maximum number of servers in one report; further ones follow in the next. */
const MAX_LOADS_PER_REPORT = 128;

/** Sources that belong to the own group. Everything else comes from other groups and is passed on to members only. */
const INNER_KINDS = new Set<LinkKind>([LinkKind.Own, LinkKind.Member]);
const RECIPIENT_KINDS = new Set<LinkKind>([LinkKind.Member, LinkKind.Hub, LinkKind.OtherHubOut]);

interface PendingLoad {
  sentTokens: number;
  promptParts: [string, number][];
}

interface Link {
  kind: LinkKind;
  /** Running requests by server, as last reported by this link. */
  running: Map<string, number>;
  pendingLoads: Map<string, PendingLoad>;
  pendingAccounts: Map<string, { requested: number; served: number }>;
  pendingLeaving: Set<string>;
  pendingStoreKinds: Set<string>;
}

interface RunningSums {
  inner: Map<string, number>;
  outer: Map<string, number>;
}

function isPassedOn(from: LinkKind, to: LinkKind): boolean {
  return RECIPIENT_KINDS.has(to) && (INNER_KINDS.has(from) || to === LinkKind.Member);
}

function addTo(sums: Map<string, number>, key: string, amount: number): void {
  const sum = (sums.get(key) ?? 0) + amount;
  if (sum === 0) sums.delete(key);
  else sums.set(key, sum);
}

function addPendingLoad(link: Link, serverKey: string, load?: ReportedServerLoad): void {
  let pending = link.pendingLoads.get(serverKey);
  if (pending === undefined) {
    pending = { sentTokens: 0, promptParts: [] };
    link.pendingLoads.set(serverKey, pending);
  }
  if (load === undefined) return;
  pending.sentTokens += load.sentTokens;
  pending.promptParts.push(...load.promptParts);
}

function addPendingReport(link: Link, { loads, accounts, leaving }: RouterReport): void {
  loads.forEach((load) => addPendingLoad(link, load.serverKey, load));
  accounts.forEach(([account, requested, served]) => {
    const pending = link.pendingAccounts.get(account) ?? { requested: 0, served: 0 };
    pending.requested += requested;
    pending.served += served;
    link.pendingAccounts.set(account, pending);
  });
  leaving.forEach((serverKey) => link.pendingLeaving.add(serverKey));
}

function hasPending(link: Link): boolean {
  const { pendingLoads, pendingAccounts, pendingLeaving, pendingStoreKinds } = link;
  return (
    pendingLoads.size + pendingAccounts.size + pendingLeaving.size + pendingStoreKinds.size > 0
  );
}

/** Takes the news of the kinds that are pending for a link. */
function takeStoreNews(link: Link, storeNews: StoreNews, nowMs: number): RouterReport['storeNews'] {
  const news = [...link.pendingStoreKinds].flatMap((kind) => {
    const entry = storeNews.get(kind);
    if (entry === undefined) return [];
    const { era, revision, confirmedAtMs } = entry;
    return [{ kind, era, revision, ageMs: Math.max(0, Math.round(nowMs - confirmedAtMs)) }];
  });
  link.pendingStoreKinds.clear();
  return news;
}

/** @param router name and incarnation that the reports carry */
export function createReportExchange(router: string, storeNews: StoreNews): ReportExchange {
  const links = new Map<string, Link>();
  const sums: RunningSums = { inner: new Map(), outer: new Map() };

  function recipientsOf(source: string, kind: LinkKind): Link[] {
    return [...links].flatMap(([key, link]) =>
      key !== source && isPassedOn(kind, link.kind) ? [link] : [],
    );
  }

  function setRunning(link: Link, serverKey: string, running: number): void {
    const target = INNER_KINDS.has(link.kind) ? sums.inner : sums.outer;
    addTo(target, serverKey, running - (link.running.get(serverKey) ?? 0));
    if (running === 0) link.running.delete(serverKey);
    else link.running.set(serverKey, running);
  }

  function runningFor(link: Link, serverKey: string): number {
    const inner = sums.inner.get(serverKey) ?? 0;
    if (link.kind !== LinkKind.Member) return inner;
    return inner + (sums.outer.get(serverKey) ?? 0) - (link.running.get(serverKey) ?? 0);
  }

  function takeLoads(link: Link): ReportedServerLoad[] {
    const loads: ReportedServerLoad[] = [];
    for (const [serverKey, { sentTokens, promptParts }] of link.pendingLoads) {
      if (loads.length >= MAX_LOADS_PER_REPORT) break;
      link.pendingLoads.delete(serverKey);
      loads.push({ serverKey, running: runningFor(link, serverKey), sentTokens, promptParts });
    }
    return loads;
  }

  function takeAccounts(link: Link): RouterReport['accounts'] {
    const accounts = [...link.pendingAccounts].map(
      ([account, { requested, served }]): [string, number, number] => [account, requested, served],
    );
    link.pendingAccounts.clear();
    return accounts;
  }

  return {
    open(key, kind) {
      const link: Link = {
        kind,
        running: new Map(),
        pendingLoads: new Map(),
        pendingAccounts: new Map(),
        pendingLeaving: new Set(),
        pendingStoreKinds: new Set(storeNews.all().keys()),
      };
      links.set(key, link);
      if (!RECIPIENT_KINDS.has(kind)) return;
      sums.inner.forEach((_running, serverKey) => addPendingLoad(link, serverKey));
      if (kind !== LinkKind.Member) return;
      sums.outer.forEach((_running, serverKey) => addPendingLoad(link, serverKey));
    },
    close(key) {
      const link = links.get(key);
      if (link === undefined) return;
      links.delete(key);
      const recipients = recipientsOf(key, link.kind);
      [...link.running.keys()].forEach((serverKey) => {
        setRunning(link, serverKey, 0);
        recipients.forEach((recipient) => addPendingLoad(recipient, serverKey));
      });
    },
    receive(key, report, nowMs) {
      const link = links.get(key);
      if (link === undefined) return;
      report.loads.forEach(({ serverKey, running }) => setRunning(link, serverKey, running));
      const laterKinds = report.storeNews.flatMap(({ kind, era, revision, ageMs }) =>
        storeNews.record(kind, { era, revision, confirmedAtMs: nowMs - ageMs }) ? [kind] : [],
      );
      recipientsOf(key, link.kind).forEach((recipient) => {
        addPendingReport(recipient, report);
        laterKinds.forEach((kind) => recipient.pendingStoreKinds.add(kind));
      });
    },
    announceStoreNews(kind) {
      links.forEach((link) => {
        if (RECIPIENT_KINDS.has(link.kind)) link.pendingStoreKinds.add(kind);
      });
    },
    compose(key, nowMs) {
      const link = links.get(key);
      if (link === undefined || !hasPending(link)) return undefined;
      const loads = takeLoads(link);
      const accounts = takeAccounts(link);
      const leaving = [...link.pendingLeaving];
      link.pendingLeaving.clear();
      return { router, loads, accounts, leaving, storeNews: takeStoreNews(link, storeNews, nowMs) };
    },
    hasNews(key) {
      const link = links.get(key);
      return link !== undefined && hasPending(link);
    },
  };
}
