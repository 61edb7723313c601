/** Wire format of reports: arrays without field names, since reports are sent often. */
import type { ReportedServerLoad, RouterReport } from '@kingcupsill/core/direct';
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

/** Creates a codec that packs reports with MessagePack. */
export function createReportCodec(): ReportCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode({ router, loads, accounts, leaving, storeNews }) {
      const news = storeNews.map(({ kind, era, revision, ageMs }): WireStoreNews => [
        kind,
        era ?? null,
        revision,
        ageMs,
      ]);
      const wire: WireReport = [router, loads.map(toWire), accounts, leaving, news];
      return packr.pack(wire);
    },
    decode(bytes) {
      try {
        const [router, loads, accounts, leaving = [], news = []] = packr.unpack(
          bytes,
        ) as WireReport;
        const storeNews = news.map(([kind, era, revision, ageMs]) => ({
          kind,
          era: era ?? undefined,
          revision,
          ageMs,
        }));
        const value = { router, loads: loads.map(fromWire), accounts, leaving, storeNews };
        return { ok: true, value };
      } catch (err) {
        return { ok: false, message: (err as Error).message };
      }
    },
  };
}
