/** Computes the result figures of a run from its request records, backend server journals and node samples. */
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

/** All records of one run. */
export interface RunRecords {
  topology: Topology;
  records: RequestRecord[];
  runs: BackendRun[];
  usage: FleetUsage;
  /** Start and end of the load in wall-clock time. */
  load: Interval;
}

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1024 * 1024;
/** Maximum time after a drain order in which a backend server may still get new work. */
const DRAIN_PROPAGATION_MS = 2000;

const DEFAULT_EXCHANGE_PERIOD_MS = 500;

/** Added first-token latency that the target allows; a request in transit for up to this time does not count as waiting. */
const TRANSIT_ALLOWANCE_MS = 5;

function countSlots(topology: Topology, pool: string): number {
  return topology.backends
    .filter((backend) => backend.pool === pool)
    .reduce((sum, { slots }) => sum + slots, 0);
}

function listPools(topology: Topology): string[] {
  return [...new Set(topology.backends.map(({ pool }) => pool))];
}

/** Returns the share of each account. */
export function getAccountShares(topology: Topology): Record<string, number> {
  return Object.fromEntries(topology.accounts.map(({ id, share }) => [id, share]));
}

/** Returns the busy fraction of the slot time while work waits; null when nothing waited. */
function busyFraction({ busySlotSeconds, slotSeconds }: Utilisation): number | null {
  return slotSeconds === 0 ? null : busySlotSeconds / slotSeconds;
}

/** Computes the fairness and utilisation figures of a pool. */
export function measurePool(pool: string, input: RunRecords): PoolFigures {
  const { topology, records, load } = input;
  const { runs, waits } = collectActivity(pool, records, input.runs);
  const slots = countSlots(topology, pool);
  const lastEndMs = waits.reduce((latest, { endMs }) => Math.max(latest, endMs), load.endMs);
  const capacity = [{ startMs: load.startMs, endMs: lastEndMs, slots }];
  const measureWithTransit = (transitMs: number) =>
    measureUtilisation({ runs, waits, capacity, transitMs });
  const waiting = measureWithTransit(TRANSIT_ALLOWANCE_MS);
  const gap = measureFairnessGap({ runs, waits, shares: getAccountShares(topology) });
  const largestRequest =
    runs.reduce((max, { startMs, endMs }) => Math.max(max, endMs - startMs), 0) / MS_PER_SECOND;
  const exchangePeriodMs = Number(
    topology.routerSettings?.fairness?.exchange_period_ms ?? DEFAULT_EXCHANGE_PERIOD_MS,
  );
  return {
    pool,
    slots,
    fairnessGapSlotSeconds: gap.slotSeconds,
    gapAccounts: gap.accounts ?? [],
    gapBoundSlotSeconds: 2 * (largestRequest + (slots * exchangePeriodMs) / MS_PER_SECOND),
    largestRequestSlotSeconds: largestRequest,
    waiting,
    utilisation: busyFraction(waiting),
    strictUtilisation: busyFraction(measureWithTransit(0)),
  };
}

/** Computes the figures of every pool. */
export function measurePools(input: RunRecords): PoolFigures[] {
  return listPools(input.topology).map((pool) => measurePool(pool, input));
}

/** Returns the utilisation over all pools; null when nothing waited. */
function overallUtilisation(pools: readonly PoolFigures[]): number | null {
  return busyFraction({
    busySlotSeconds: pools.reduce((sum, { waiting }) => sum + waiting.busySlotSeconds, 0),
    slotSeconds: pools.reduce((sum, { waiting }) => sum + waiting.slotSeconds, 0),
  });
}

/** Computes first-token latency percentiles of streamed responses, for the given accounts or for all. */
export function firstTokenPercentiles(
  records: readonly RequestRecord[],
  accounts?: readonly string[],
): RunSummary['firstTokenMs'] {
  const timesMs = records
    .filter(({ account }) => accounts === undefined || accounts.includes(account))
    .flatMap(({ sentMs, firstTokenMs }) =>
      firstTokenMs === undefined ? [] : [firstTokenMs - sentMs],
    );
  const { p50, p95, p99 } = measurePercentiles(timesMs) ?? { p50: null, p95: null, p99: null };
  return { p50, p95, p99 };
}

/** Computes the network, CPU and memory usage of routers and sidecars. */
export function measureNodes({ nodes, seconds }: FleetUsage) {
  const sum = (pick: (node: FleetUsage['nodes'][number]) => number) =>
    nodes.reduce((total, node) => total + pick(node), 0);
  const hasRegionBytes = nodes.some(({ crossRegionBytes }) => crossRegionBytes !== undefined);
  return {
    controlBytesPerNodePerSecond: sum(({ controlBytes }) => controlBytes) / nodes.length / seconds,
    crossRegionBytes: hasRegionBytes ? sum(({ crossRegionBytes }) => crossRegionBytes ?? 0) : null,
    controlCpuPercentOfCore: (100 * sum(({ cpuSeconds }) => cpuSeconds)) / nodes.length / seconds,
    peakRssMb: Math.max(...nodes.map(({ peakRssBytes }) => peakRssBytes)) / BYTES_PER_MB,
  };
}

/** Returns the mean control bytes per second sent by a node of one role. */
export function measureBytesPerNode({ nodes, seconds }: FleetUsage, role: ProcessRole): number {
  const roleNodes = nodes.filter((node) => node.role === role);
  const bytes = roleNodes.reduce((total, { controlBytes }) => total + controlBytes, 0);
  return bytes / roleNodes.length / seconds;
}

/** Counts runs that started on a draining backend server more than `DRAIN_PROPAGATION_MS` after the drain order. */
export function countLateStarts(
  runs: readonly BackendRun[],
  drains: readonly DrainWindow[],
): number {
  const isLate = ({ backend, startMs }: BackendRun) =>
    drains.some(
      (drain) =>
        drain.backend === backend &&
        startMs > drain.startMs + DRAIN_PROPAGATION_MS &&
        startMs < drain.endMs,
    );
  return runs.filter(isLate).length;
}

/** Counts requests by outcome and code, most frequent first. */
export function countOutcomes(records: readonly RequestRecord[]): OutcomeCount[] {
  const counts = new Map<string, OutcomeCount>();
  records.forEach(({ outcome, status, code, answer }) => {
    const resultCode = code ?? answer ?? String(status);
    const key = `${outcome} ${resultCode}`;
    const entry = counts.get(key) ?? { outcome, code: resultCode, count: 0 };
    entry.count += 1;
    counts.set(key, entry);
  });
  return [...counts.values()].sort((a, b) => b.count - a.count);
}

/** Computes the summary figures common to all scenarios. */
export function summarise(input: RunRecords, pools: readonly PoolFigures[]) {
  return {
    requests: countRequests(input.records, input.runs),
    fairnessGapSlotSeconds: Math.max(...pools.map((pool) => pool.fairnessGapSlotSeconds)),
    largestRequestSlotSeconds: Math.max(...pools.map((pool) => pool.largestRequestSlotSeconds)),
    utilisation: overallUtilisation(pools),
    ...measureNodes(input.usage),
  };
}
