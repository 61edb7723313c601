/** Requests that crash servers, in a fleet whose routers exchange their reports through hubs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  applyCrashNews,
  AttemptOutcome,
  blockCulprits,
  createCrashEvidence,
  createCrashNews,
  createEmptyReport,
  createReportExchange,
  createServerLimits,
  createStoreNews,
  LinkKind,
  planExchange,
  recordAttemptEnd,
} from '../../src/direct/index.js';
import type { CrashEvidence, ReportExchange, RouterInfo } from '../../src/direct/index.js';
import { hasher } from './sample.js';

const CONTACT_MS = 3000;
/** Time for which a report is under way, as long as that between two reports on a link. */
const STEP_MS = 150;

interface Router {
  evidence: CrashEvidence;
  exchange: ReportExchange;
  /** Routers that get this one's reports by link, with the name of the link at their side. */
  recipients: Map<string, { router: Router; link: string }>;
}

function createRouter(name: string): Router {
  const evidence = createCrashEvidence();
  const exchange = createReportExchange({
    router: name,
    storeNews: createStoreNews(),
    blocks: evidence.blocks,
    serverLimits: createServerLimits(() => 0),
  });
  exchange.open('own', LinkKind.Own, 0);
  return { evidence, exchange, recipients: new Map() };
}

function connect(from: Router, kind: LinkKind, to: Router, otherKind: LinkKind, id: string): void {
  from.exchange.open(`to ${id}`, kind, 0);
  to.exchange.open(`from ${id}`, otherKind, 0);
  from.recipients.set(`to ${id}`, { router: to, link: `from ${id}` });
  if (otherKind === LinkKind.Member)
    to.recipients.set(`from ${id}`, { router: from, link: `to ${id}` });
}

function createFleet(size: number): Router[] {
  const infos = Array.from({ length: size }, (_none, index): RouterInfo => {
    const name = `router-${index}`;
    return { name, address: `${index}`, zone: `z${index % 6}`, cores: 1 };
  });
  const routers = new Map(infos.map(({ name }) => [name, createRouter(name)]));
  infos.forEach(({ name }) => {
    const router = routers.get(name)!;
    const { hubCandidates, otherGroups } = planExchange(hasher, name, infos);
    const [hub] = hubCandidates;
    if (hub !== undefined)
      connect(router, LinkKind.Hub, routers.get(hub.name)!, LinkKind.Member, name);
    else
      otherGroups.forEach(([other], group) =>
        connect(
          router,
          LinkKind.OtherHubOut,
          routers.get(other!.name)!,
          LinkKind.OtherHubIn,
          `${name} ${group}`,
        ),
      );
  });
  return [...routers.values()];
}

/** Sends the reports that are due; they arrive in the next step. */
function exchangeReports(fleet: readonly Router[], nowMs: number): void {
  fleet.forEach(({ evidence, exchange }) => {
    const { news } = evidence;
    evidence.news = createCrashNews();
    exchange.receive('own', { ...createEmptyReport('own'), crashNews: news }, nowMs);
  });
  const reports = fleet.flatMap(({ exchange, recipients }) =>
    [...recipients].flatMap(([key, recipient]) => {
      const report = exchange.compose(key, nowMs);
      return report === undefined ? [] : { ...recipient, report };
    }),
  );
  reports.forEach(({ router, link, report }) => {
    applyCrashNews(router.evidence, report.crashNews, nowMs);
    router.exchange.receive(link, report, nowMs);
  });
}

interface Arrivals {
  /** Times at which the request reached a server, each of which crashed. */
  crashedAtMs: number[];
  /** Time from which all routers refused the request. */
  refusedAtMs: number | undefined;
}

/** Plays requests that crash their server whenever it gets them; each comes again at another router every 0.45 s. */
function play(routerCount: number, requestCount: number): Arrivals[] {
  const fleet = createFleet(routerCount);
  const arrivals = Array.from({ length: requestCount }, (): Arrivals => ({
    crashedAtMs: [],
    refusedAtMs: undefined,
  }));
  for (let step = 0; step < 80; step += 1) {
    const nowMs = step * STEP_MS;
    arrivals.forEach((request, index) => {
      const traits = [`request:${index}`];
      const isBlocked = ({ evidence }: Router) => evidence.blocks.remainingMs(traits, nowMs) > 0;
      if (fleet.every(isBlocked)) request.refusedAtMs ??= nowMs;
      const router = fleet[(step * 37 + index * 101) % routerCount]!;
      if ((step + index) % 3 !== 0 || isBlocked(router)) return;
      request.crashedAtMs.push(nowMs);
      const serverKey = `e${index}@${step}`;
      const ended = { serverKey, outcome: AttemptOutcome.Unknown, sentAtMs: nowMs };
      recordAttemptEnd(router.evidence, { ...ended, traits, begunAtMs: undefined }, nowMs);
    });
    exchangeReports(fleet, nowMs);
    fleet.forEach(({ evidence }) => blockCulprits(evidence, nowMs));
  }
  return arrivals;
}

for (const [routerCount, requestCount] of [
  [5, 1],
  [60, 3],
  [300, 1],
  [300, 8],
  [60, 100],
] as const) {
  // Guards against routers that go on sending what others know to crash servers.
  test(`${routerCount} routers refuse ${requestCount} requests that crash servers within the contact time`, () => {
    play(routerCount, requestCount).forEach(({ crashedAtMs, refusedAtMs }) => {
      const boundMs = crashedAtMs[2]! + CONTACT_MS;
      assert.ok(refusedAtMs !== undefined && refusedAtMs <= boundMs, `refused at ${refusedAtMs}`);
      assert.ok(crashedAtMs.filter((atMs) => atMs > boundMs).length <= 3);
    });
  });
}
