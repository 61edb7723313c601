/** Wire format of reports: arrays without field names, since reports are sent often. */
import { createCrashNews, hasCrashNews } from '@kingcupsill/core/direct';
import type {
  CrashNews,
  ReportedServerLimit,
  ReportedServerLoad,
  RouterReport,
} from '@kingcupsill/core/direct';
import { Packr } from 'msgpackr';

type WireLoad = [
  serverKey: string,
  running: number,
  sentTokens: number,
  promptParts: [string, number][],
  /** Missing in reports of earlier builds. */
  sentRequests?: number,
];
type WireReport = [
  router: string,
  loads: WireLoad[],
  accounts: RouterReport['accounts'],
  /** Missing in reports of earlier builds. */
  leaving?: string[],
  storeNews?: WireStoreNews[],
  /** Null if there is none. */
  crashNews?: WireCrashNews | null,
  limits?: WireLimit[],
  demand?: RouterReport['demand'],
];
/** The rate is null for a server whose limit is lifted. */
type WireLimit = [serverKey: string, requestsPerSecond: number | null, ageMs: number];
type WireCrashNews = [
  crashes: [serverKey: string, traits: string[]][],
  served: string[],
  blocked: [traits: string[], remainingMs: number][],
];
type WireStoreNews = [kind: string, era: number | null, revision: number, ageMs: number];

/** Decoded report, or the reason why the bytes aren't one. */
export type DecodedReport = { ok: true; value: RouterReport } | { ok: false; message: string };

/** Encoder and decoder of reports. */
export interface ReportCodec {
  encode(report: RouterReport): Buffer;
  decode(bytes: Buffer): DecodedReport;
}

function toWire(load: ReportedServerLoad): WireLoad {
  return [load.serverKey, load.running, load.sentTokens, load.promptParts, load.sentRequests];
}

function fromWire(wire: WireLoad): ReportedServerLoad {
  const [serverKey, running, sentTokens, promptParts, sentRequests = 0] = wire;
  return { serverKey, running, sentTokens, sentRequests, promptParts };
}

function limitToWire({ serverKey, requestsPerSecond, ageMs }: ReportedServerLimit): WireLimit {
  return [serverKey, requestsPerSecond ?? null, Math.round(ageMs)];
}

function limitFromWire([serverKey, requestsPerSecond, ageMs]: WireLimit): ReportedServerLimit {
  return { serverKey, requestsPerSecond: requestsPerSecond ?? undefined, ageMs };
}

function crashNewsToWire(news: CrashNews): WireCrashNews | null {
  if (!hasCrashNews(news)) return null;
  const blocked = news.blocked.map(({ traits, remainingMs }): [string[], number] => [
    traits,
    Math.round(remainingMs),
  ]);
  return [news.crashes, news.served, blocked];
}

function crashNewsFromWire(wire: WireCrashNews | null): CrashNews {
  if (wire === null) return createCrashNews();
  const [crashes, served, blocked] = wire;
  return {
    crashes,
    served,
    blocked: blocked.map(([traits, remainingMs]) => ({ traits, remainingMs })),
  };
}

/** Creates a codec that packs reports with MessagePack. */
export function createReportCodec(): ReportCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode({ router, loads, accounts, leaving, storeNews, crashNews, limits, demand }) {
      const news = storeNews.map(({ kind, era, revision, ageMs }): WireStoreNews => [
        kind,
        era ?? null,
        revision,
        ageMs,
      ]);
      const wire: WireReport = [
        router,
        loads.map(toWire),
        accounts,
        leaving,
        news,
        crashNewsToWire(crashNews),
        limits.map(limitToWire),
        demand,
      ];
      return packr.pack(wire);
    },
    decode(bytes) {
      try {
        const wire = packr.unpack(bytes) as WireReport;
        const [
          router,
          loads,
          accounts,
          leaving = [],
          news = [],
          crashes = null,
          limits = [],
          demand = [],
        ] = wire;
        const storeNews = news.map(([kind, era, revision, ageMs]) => ({
          kind,
          era: era ?? undefined,
          revision,
          ageMs,
        }));
        const value = {
          router,
          loads: loads.map(fromWire),
          accounts,
          leaving,
          storeNews,
          crashNews: crashNewsFromWire(crashes),
          limits: limits.map(limitFromWire),
          demand,
        };
        return { ok: true, value };
      } catch (err) {
        return { ok: false, message: (err as Error).message };
      }
    },
  };
}
