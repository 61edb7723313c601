/** Computes a run's figures from its records, journals and samples. */
import {
  collectActivity,
  countRequests,
  measureFairnessGap,
  measurePercentiles,
  measureUtilisation,
} from '../measure/index.js';
import type { BackendRun, Interval, RequestRecord, Utilisation } from '../measure/index.js';
import type { FleetUsage } from '../observe/index.js';
import type { ProcessRole, Topology } from '../fleet/index.js';
import type { DrainWindow } from '../scenarios/index.js';
import type { OutcomeCount, PoolFigures, RunSummary } from './types.js';

/** Everything that was recorded of one run. */
export interface RunRecords {
  topology: Topology;
  records: RequestRecord[];
  runs: BackendRun[];
  usage: FleetUsage;
  /** Time of the load, wall clock. */
  load: Interval;
}

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1024 * 1024;
/** Time after which a draining backend server must get no new work. */
const DRAIN_NEWS_MS = 2000;

const DEFAULT_EXCHANGE_PERIOD_MS = 500;

/** Added first-token time that the target allows; a request this long on its way does not wait. */
const TRANSIT_ALLOWANCE_MS = 5;

function slotsOf(topology: Topology, pool: string): number {
  return topology.backends
    .filter((backend) => backend.pool === pool)
    .reduce((sum, { slots }) => sum + slots, 0);
}

function poolsOf(topology: Topology): string[] {
  return [...new Set(topology.backends.map(({ pool }) => pool))];
}

/** Shares of all accounts. */
export function sharesOf(topology: Topology): Record<string, number> {
  return Object.fromEntries(topology.accounts.map(({ id, share }) => [id, share]));
}

function busyPart({ busySlotSeconds, slotSeconds }: Utilisation): number | null {
  return slotSeconds === 0 ? null : busySlotSeconds / slotSeconds;
}

/** Figures of one pool. */
export function measurePool(pool: string, input: RunRecords): PoolFigures {
  const { topology, records, load } = input;
  const { runs, waits } = collectActivity(pool, records, input.runs);
  const slots = slotsOf(topology, pool);
  const lastEndMs = waits.reduce((latest, { endMs }) => Math.max(latest, endMs), load.endMs);
  const capacity = [{ startMs: load.startMs, endMs: lastEndMs, slots }];
  const useAfter = (transitMs: number) => measureUtilisation({ runs, waits, capacity, transitMs });
  const waiting = useAfter(TRANSIT_ALLOWANCE_MS);
  const gap = measureFairnessGap({ runs, waits, shares: sharesOf(topology) });
  const largest =
    runs.reduce((most, { startMs, endMs }) => Math.max(most, endMs - startMs), 0) / MS_PER_SECOND;
  const exchangePeriodMs = Number(
    topology.routerSettings?.fairness?.exchange_period_ms ?? DEFAULT_EXCHANGE_PERIOD_MS,
  );
  return {
    pool,
    slots,
    fairnessGapSlotSeconds: gap.slotSeconds,
    gapAccounts: gap.accounts ?? [],
    gapBoundSlotSeconds: 2 * (largest + (slots * exchangePeriodMs) / MS_PER_SECOND),
    largestRequestSlotSeconds: largest,
    waiting,
    utilisation: busyPart(waiting),
    strictUtilisation: busyPart(useAfter(0)),
  };
}

/** Figures of every pool. */
export function measurePools(input: RunRecords): PoolFigures[] {
  return poolsOf(input.topology).map((pool) => measurePool(pool, input));
}

/** Utilisation of all pools together; null when nothing waited. */
function overallUtilisation(pools: readonly PoolFigures[]): number | null {
  return busyPart({
    busySlotSeconds: pools.reduce((sum, { waiting }) => sum + waiting.busySlotSeconds, 0),
    slotSeconds: pools.reduce((sum, { waiting }) => sum + waiting.slotSeconds, 0),
  });
}

/** First-token times of the streamed answers of some accounts, or of all. */
export function firstTokenPercentiles(
  records: readonly RequestRecord[],
  accounts?: readonly string[],
): RunSummary['firstTokenMs'] {
  const times = records
    .filter(({ account }) => accounts === undefined || accounts.includes(account))
    .flatMap(({ sentMs, firstTokenMs }) =>
      firstTokenMs === undefined ? [] : [firstTokenMs - sentMs],
    );
  const { p50, p95, p99 } = measurePercentiles(times) ?? { p50: null, p95: null, p99: null };
  return { p50, p95, p99 };
}

/** Use of the network, processor and memory by routers and sidecars. */
export function measureNodes({ nodes, seconds }: FleetUsage) {
  const sum = (pick: (node: FleetUsage['nodes'][number]) => number) =>
    nodes.reduce((total, node) => total + pick(node), 0);
  const tellsRegions = nodes.some(({ crossRegionBytes }) => crossRegionBytes !== undefined);
  return {
    controlBytesPerNodePerSecond: sum(({ controlBytes }) => controlBytes) / nodes.length / seconds,
    crossRegionBytes: tellsRegions ? sum(({ crossRegionBytes }) => crossRegionBytes ?? 0) : null,
    controlCpuPercentOfCore: (100 * sum(({ cpuSeconds }) => cpuSeconds)) / nodes.length / seconds,
    peakRssMb: Math.max(...nodes.map(({ peakRssBytes }) => peakRssBytes)) / BYTES_PER_MB,
  };
}

/** Control bytes that a node of one role sends on average, per second. */
export function bytesPerNode({ nodes, seconds }: FleetUsage, role: ProcessRole): number {
  const ofRole = nodes.filter((node) => node.role === role);
  const bytes = ofRole.reduce((total, { controlBytes }) => total + controlBytes, 0);
  return bytes / ofRole.length / seconds;
}

/** Runs that started on a draining backend server later than the order allows. */
export function countLateStarts(
  runs: readonly BackendRun[],
  drains: readonly DrainWindow[],
): number {
  const isLate = ({ backend, startMs }: BackendRun) =>
    drains.some(
      (drain) =>
        drain.backend === backend &&
        startMs > drain.startMs + DRAIN_NEWS_MS &&
        startMs < drain.endMs,
    );
  return runs.filter(isLate).length;
}

/** Counts requests by how they ended, the most frequent first. */
export function countOutcomes(records: readonly RequestRecord[]): OutcomeCount[] {
  const counts = new Map<string, OutcomeCount>();
  records.forEach(({ outcome, status, code, answer }) => {
    const ending = code ?? answer ?? String(status);
    const key = `${outcome} ${ending}`;
    const entry = counts.get(key) ?? { outcome, code: ending, count: 0 };
    entry.count += 1;
    counts.set(key, entry);
  });
  return [...counts.values()].sort((a, b) => b.count - a.count);
}

/** Figures that every scenario has. */
export function summarise(input: RunRecords, pools: readonly PoolFigures[]) {
  return {
    requests: countRequests(input.records, input.runs),
    fairnessGapSlotSeconds: Math.max(...pools.map((pool) => pool.fairnessGapSlotSeconds)),
    largestRequestSlotSeconds: Math.max(...pools.map((pool) => pool.largestRequestSlotSeconds)),
    utilisation: overallUtilisation(pools),
    ...measureNodes(input.usage),
  };
}
