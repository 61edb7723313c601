/**
 * Sums of the load reports that pass a router. A report from one link changes the sums for the links to which it may be passed on;
 * what changed is sent with the next report of each link, so several changes of one server cost one entry.
 */
import type { CrashBlocks } from './crashes/blocked-traits.js';
import { createCrashNews } from './crashes/crash-news.js';
import type { RouterReport } from './events.js';
import { createPendingReport } from './pending-report.js';
import type { PendingReport } from './pending-report.js';
import { createRunningSums } from './running-sums.js';
import type { RunningByServer } from './running-sums.js';
import type { ServerLimits } from './servers/limits/stated-limits.js';
import { describeNews, recordReportedNews } from './store-news.js';
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
  /** Adds a link; recipients get all current sums, blocks and limits with their first report. */
  open(link: string, kind: LinkKind, nowMs: number): void;
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

interface Link {
  kind: LinkKind;
  /** What this link has last reported. */
  running: RunningByServer;
  pending: PendingReport;
}

function isPassedOn(from: LinkKind, to: LinkKind): boolean {
  return RECIPIENT_KINDS.has(to) && (INNER_KINDS.has(from) || to === LinkKind.Member);
}

/** Dependencies of the exchange. */
export interface ReportExchangeOptions {
  /** Name and incarnation of this router, which its reports carry. */
  router: string;
  storeNews: StoreNews;
  /** Requests that this router refuses because they crash servers. */
  blocks: CrashBlocks;
  serverLimits: ServerLimits;
}

/** Creates an exchange without links. */
export function createReportExchange({
  router,
  storeNews,
  blocks,
  serverLimits,
}: ReportExchangeOptions): ReportExchange {
  const links = new Map<string, Link>();
  const innerSums = createRunningSums();
  const outerSums = createRunningSums();

  function recipientsOf(source: string, kind: LinkKind): Link[] {
    return [...links].flatMap(([key, link]) =>
      key !== source && isPassedOn(kind, link.kind) ? [link] : [],
    );
  }

  function setRunning({ kind, running }: Link, serverKey: string, count: number): void {
    const sums = INNER_KINDS.has(kind) ? innerSums : outerSums;
    sums.set(running, serverKey, count);
  }

  /** Running requests of all whose reports are passed on to a link, without its own. */
  function runningFor({ kind, running }: Link, serverKey: string): number {
    const inner = innerSums.get(serverKey);
    if (kind !== LinkKind.Member) return inner;
    return inner + outerSums.get(serverKey) - (running.get(serverKey) ?? 0);
  }

  function open(key: string, kind: LinkKind, nowMs: number): void {
    const link: Link = { kind, running: new Map(), pending: createPendingReport() };
    links.set(key, link);
    // A router that starts knows nothing of earlier crashes.
    link.pending.addCrashNews({ ...createCrashNews(), blocked: blocks.listActive(nowMs) });
    storeNews.all().forEach((_entry, storeKind) => link.pending.addStoreKind(storeKind));
    serverLimits.serverKeys().forEach(link.pending.addLimit);
    innerSums.serverKeys().forEach(link.pending.addServer);
    if (kind === LinkKind.Member) outerSums.serverKeys().forEach(link.pending.addServer);
  }

  function close(key: string): void {
    const link = links.get(key);
    if (link === undefined) return;
    links.delete(key);
    const recipients = recipientsOf(key, link.kind);
    [...link.running.keys()].forEach((serverKey) => {
      setRunning(link, serverKey, 0);
      recipients.forEach(({ pending }) => pending.addServer(serverKey));
    });
  }

  function receive(key: string, report: RouterReport, nowMs: number): void {
    const link = links.get(key);
    if (link === undefined) return;
    report.loads.forEach(({ serverKey, running }) => setRunning(link, serverKey, running));
    const laterKinds = recordReportedNews(storeNews, report.storeNews, key, nowMs);
    recipientsOf(key, link.kind).forEach(({ pending }) => {
      pending.add(report, nowMs);
      laterKinds.forEach(pending.addStoreKind);
    });
  }

  function compose(key: string, nowMs: number): RouterReport | undefined {
    const link = links.get(key);
    if (link === undefined || link.pending.isEmpty()) return undefined;
    const taken = link.pending.take(MAX_LOADS_PER_REPORT, nowMs);
    const { loads, storeKinds, limitedKeys, ...changes } = taken;
    return {
      ...changes,
      router,
      loads: loads.map((load) => ({ ...load, running: runningFor(link, load.serverKey) })),
      storeNews: storeKinds.flatMap((kind) => describeNews(storeNews, kind, nowMs)),
      limits: serverLimits.describe(limitedKeys, nowMs),
    };
  }

  return {
    open,
    close,
    receive,
    compose,
    announceStoreNews(kind) {
      links.forEach((link) => {
        if (RECIPIENT_KINDS.has(link.kind)) link.pending.addStoreKind(kind);
      });
    },
    hasNews: (key) => links.get(key)?.pending.isEmpty() === false,
  };
}
