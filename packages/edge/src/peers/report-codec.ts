/** Wire format of reports: arrays without field names, since reports are sent often. */
import { createCrashNews, hasCrashNews } from '@kingcupsill/core/direct';
import type { CrashNews, ReportedServerLoad, RouterReport } from '@kingcupsill/core/direct';
import { Packr } from 'msgpackr';

type WireLoad = [
  serverKey: string,
  running: number,
  sentTokens: number,
  promptParts: [string, number][],
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
];
type WireCrashNews = [
  crashes: [serverKey: string, partIds: string[]][],
  served: string[],
  blocked: [partIds: string[], remainingMs: number][],
];
type WireStoreNews = [kind: string, era: number | null, revision: number, ageMs: number];

/** Decoded report, or the reason why the bytes aren't one. */
export type DecodedReport = { ok: true; value: RouterReport } | { ok: false; message: string };

/** Encoder and decoder of reports. */
export interface ReportCodec {
  encode(report: RouterReport): Buffer;
  decode(bytes: Buffer): DecodedReport;
}

function toWire({ serverKey, running, sentTokens, promptParts }: ReportedServerLoad): WireLoad {
  return [serverKey, running, sentTokens, promptParts];
}

function fromWire([serverKey, running, sentTokens, promptParts]: WireLoad): ReportedServerLoad {
  return { serverKey, running, sentTokens, promptParts };
}

function crashNewsToWire(news: CrashNews): WireCrashNews | null {
  if (!hasCrashNews(news)) return null;
  const blocked = news.blocked.map(({ partIds, remainingMs }): [string[], number] => [
    partIds,
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
    blocked: blocked.map(([partIds, remainingMs]) => ({ partIds, remainingMs })),
  };
}

/** Creates a codec that packs reports with MessagePack. */
export function createReportCodec(): ReportCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode({ router, loads, accounts, leaving, storeNews, crashNews }) {
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
      ];
      return packr.pack(wire);
    },
    decode(bytes) {
      try {
        const [router, loads, accounts, leaving = [], news = [], crashes = null] = packr.unpack(
          bytes,
        ) as WireReport;
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
        };
        return { ok: true, value };
      } catch (err) {
        return { ok: false, message: (err as Error).message };
      }
    },
  };
}
