/** Wire format of reports: arrays without field names, since reports are sent often. */
import { createCrashNews, hasCrashNews } from '@kingcupsill/core/direct';
import type {
  CrashNews,
  ReportedServerLimit,
  ReportedServerLoad,
  ReportedStart,
  RouterReport,
} from '@kingcupsill/core/direct';
import { Packr } from 'msgpackr';
import { z } from 'zod';

/** Maximum number of entries of a list; reports of this build have at most 128 servers. */
const MAX_ENTRIES = 8192;
/** Maximum number of elements; reports of this build have ten. */
const MAX_LISTS = 64;

/** List that is read up to its first invalid entry, since a million of them would have a million errors. */
const listOf = <TSchema extends z.ZodType>(entry: TSchema) =>
  z.custom<z.infer<TSchema>[]>(
    (value) =>
      Array.isArray(value) &&
      value.length <= MAX_ENTRIES &&
      value.every((item) => entry.safeParse(item).success),
  );

const count = z.tuple([z.string(), z.number()]);
const loadSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  listOf(count),
  /** Sent requests; missing in reports of earlier builds. */
  z.number().optional(),
]);
/** The rate is null for a server whose limit is lifted. */
const limitSchema = z.tuple([z.string(), z.number().nullable(), z.number()]);
const crashNewsSchema = z.tuple([
  listOf(z.tuple([z.string(), listOf(z.string())])),
  listOf(z.string()),
  listOf(z.tuple([listOf(z.string()), z.number()])),
]);
/** Kind, era, revision and age in milliseconds. */
const storeNewsSchema = z.tuple([z.string(), z.number().nullable(), z.number(), z.number()]);

/** Server, or its index in the loads, and ages in milliseconds of the request and of the start of its answer. */
const startSchema = z.tuple([z.union([z.string(), z.number()]), z.number(), z.number()]);

/** Reports of earlier builds lack the last elements, those of later ones may have more. */
const reportSchema = z
  .tuple([
    z.string(),
    listOf(loadSchema),
    listOf(z.tuple([z.string(), z.number(), z.number()])),
    listOf(z.string()).optional(),
    listOf(storeNewsSchema).optional(),
    crashNewsSchema.nullable().optional(),
    listOf(limitSchema).optional(),
    listOf(count).optional(),
    z.number().nullable().optional(),
    listOf(startSchema).optional(),
  ])
  .rest(z.unknown());

const SENT_AT_INDEX = 8;

type WireReport = z.infer<typeof reportSchema>;
type WireLoad = z.infer<typeof loadSchema>;
type WireLimit = z.infer<typeof limitSchema>;
type WireCrashNews = z.infer<typeof crashNewsSchema>;
type WireStart = z.infer<typeof startSchema>;
type WireStoreNews = z.infer<typeof storeNewsSchema>;

/** Decoded report, or the reason why the bytes aren't one. `sentAtMs` is by the sender's clock; reports of earlier builds lack it. */
export type DecodedReport =
  { ok: true; value: RouterReport; sentAtMs?: number } | { ok: false; message: string };

/** Encoder and decoder of reports. */
export interface ReportCodec {
  encode(report: RouterReport, sentAtMs?: number): Buffer;
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

function startsToWire({ loads, starts }: RouterReport): WireStart[] {
  const indexes = new Map(loads.map(({ serverKey }, index) => [serverKey, index]));
  return starts.map(({ serverKey, sentAgeMs, begunAgeMs }) => [
    indexes.get(serverKey) ?? serverKey,
    Math.round(sentAgeMs),
    Math.round(begunAgeMs),
  ]);
}

/** Leaves out those of servers that the report doesn't have. */
function startsFromWire(starts: WireStart[], loads: WireLoad[]): ReportedStart[] {
  return starts.flatMap(([server, sentAgeMs, begunAgeMs]) => {
    const serverKey = typeof server === 'string' ? server : loads[server]?.[0];
    return serverKey === undefined ? [] : { serverKey, sentAgeMs, begunAgeMs };
  });
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

function readReport([
  router,
  loads,
  accounts,
  leaving = [],
  news = [],
  crashes = null,
  limits = [],
  demand = [],
  _sentAtMs,
  starts = [],
]: WireReport): RouterReport {
  return {
    router,
    loads: loads.map(fromWire),
    accounts,
    leaving,
    storeNews: news.map(([kind, era, revision, ageMs]) => ({
      kind,
      era: era ?? undefined,
      revision,
      ageMs,
    })),
    crashNews: crashNewsFromWire(crashes),
    limits: limits.map(limitFromWire),
    demand,
    starts: startsFromWire(starts, loads),
  };
}

/** Creates a codec that packs reports with MessagePack. */
export function createReportCodec(): ReportCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode(report, sentAtMs) {
      const { router, loads, accounts, leaving, storeNews, crashNews, limits, demand } = report;
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
        sentAtMs ?? null,
        startsToWire(report),
      ];
      return packr.pack(wire);
    },
    decode(bytes) {
      try {
        const wire: unknown = packr.unpack(bytes);
        if (Array.isArray(wire) && wire.length > MAX_LISTS)
          return { ok: false, message: `${wire.length} lists` };
        const parsed = reportSchema.parse(wire);
        const value = readReport(parsed);
        const sentAtMs = parsed[SENT_AT_INDEX] ?? undefined;
        return sentAtMs === undefined ? { ok: true, value } : { ok: true, value, sentAtMs };
      } catch (err) {
        return { ok: false, message: (err as Error).message };
      }
    },
  };
}
