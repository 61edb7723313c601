/** Types of run results, printed by `bench run --json` and stored in result files. */
import type { Utilisation, RequestCounts } from '../measure/index.js';
import type { Policy } from '../scenarios/index.js';

/** Summary figures of one run; null for figures that the scenario does not measure. */
export interface RunSummary {
  scenario: string;
  seed: number;
  policy: Policy;
  seconds: number;
  routers: number;
  backendServers: number;
  accounts: number;
  requests: RequestCounts;
  fairnessGapSlotSeconds: number | null;
  largestRequestSlotSeconds: number | null;
  utilisation: number | null;
  controlBytesPerNodePerSecond: number | null;
  crossRegionBytes: number | null;
  controlCpuPercentOfCore: number | null;
  peakRssMb: number | null;
  firstTokenMs: { p50: number | null; p95: number | null; p99: number | null };
  addedFirstTokenMs: { p50: number | null; p99: number | null };
  configInForceMs: { p50: number | null; max: number | null };
}

/** Number of requests with the same outcome and code. */
export interface OutcomeCount {
  outcome: string;
  code: string;
  count: number;
}

/** Fairness and utilisation figures of one pool. */
export interface PoolFigures {
  pool: string;
  slots: number;
  fairnessGapSlotSeconds: number;
  /** Pair of accounts with the largest fairness gap. */
  gapAccounts: string[];
  /** Upper bound on the gap: 2 x (largest request + slots x exchange period). */
  gapBoundSlotSeconds: number;
  largestRequestSlotSeconds: number;
  /** Busy and total slot time while work waits, with the transit allowance. */
  waiting: Utilisation;
  /** Busy fraction of the slots while work waits, with the transit allowance. */
  utilisation: number | null;
  /** Busy fraction of the slots while work waits, without the transit allowance. */
  strictUtilisation: number | null;
}

/** Time series of a run, per second unless stated otherwise. */
export interface RunSeries {
  /** Slot seconds used by each account in each second. */
  servicePerAccount: { account: string; slotSeconds: number[] }[];
  /** Largest fairness gap of any pair of accounts in the window that ends with each second. */
  gapSlotSeconds: number[];
  /** Busy fraction of the slots while work waits in each second; null if nothing waits. */
  utilisation: (number | null)[];
  /** Control bytes per node and second in each sampling period. */
  controlBytesPerNodePerSecond: { atSecond: number; value: number }[];
}

/** Resource usage per node at one fleet size. */
export interface ScalePoint {
  routers: number;
  accounts: number;
  bytesPerNodePerSecond: number;
  bytesPerRouterPerSecond: number;
  bytesPerSidecarPerSecond: number;
  cpuPercentOfCore: number;
  peakRssMb: number;
}

/** Slopes of the resource usage per node over the fleet size. */
export interface ScaleSlopes {
  bytesPerNodePerSecond: number;
  bytesPerRouterPerSecond: number;
  bytesPerSidecarPerSecond: number;
  cpuPercentOfCore: number;
  peakRssMb: number;
}

/** Points of both sweeps with the slopes per router and per account. */
export interface ScaleFigures {
  byRouters: ScalePoint[];
  byAccounts: ScalePoint[];
  perRouter: ScaleSlopes;
  perAccount: ScaleSlopes;
}

/** Detailed figures of a result file. */
export interface RunDetails {
  /** Mean usage of a node before the load, without requests. */
  idle: { cpuPercentOfCore: number; bytesPerNodePerSecond: number };
  /** Mean control bytes per second sent by a router. */
  controlBytesPerRouterPerSecond: number;
  /** Mean control bytes per second sent by a sidecar. */
  controlBytesPerSidecarPerSecond: number;
  outcomes: OutcomeCount[];
  pools: PoolFigures[];
  /** First-token latency of the reported accounts under the baseline load; null if the scenario has none. */
  baselineFirstTokenMs: RunSummary['firstTokenMs'] | null;
  /** Number of runs that started on a draining backend server more than 2 s after the drain order. */
  lateStarts: number;
  /** Steps of the fault script in order, with their times. */
  notes: string[];
  /** Results of the sweeps; only in the scenario `scale`. */
  scale?: ScaleFigures;
}

/** Contents of a result file. */
export interface RunResult {
  summary: RunSummary;
  details: RunDetails;
  series: RunSeries;
}
