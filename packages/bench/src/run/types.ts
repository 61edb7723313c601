/** Results of a run, as `bench run --json` prints them and as result files keep them. */
import type { Utilisation, RequestCounts } from '../measure/index.js';
import type { Policy } from '../scenarios/index.js';

/** The bench's figures of one run. A figure that the scenario does not measure is null. */
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

/** Requests that ended in one way. */
export interface OutcomeCount {
  outcome: string;
  code: string;
  count: number;
}

/** Figures of one pool. */
export interface PoolFigures {
  pool: string;
  slots: number;
  fairnessGapSlotSeconds: number;
  /** Pair of accounts that shows the gap. */
  gapAccounts: string[];
  /** Twice (largest request + slots x exchange period), the bound on the gap. */
  gapBoundSlotSeconds: number;
  largestRequestSlotSeconds: number;
  /** Slot time while work waits, with the transit allowance. */
  waiting: Utilisation;
  /** While work waits, with the transit allowance. */
  utilisation: number | null;
  /** While work waits, without any allowance. */
  strictUtilisation: number | null;
}

/** Values of each second of the run. */
export interface RunSeries {
  /** Slot seconds per account in each second. */
  servicePerAccount: { account: string; slotSeconds: number[] }[];
  /** Largest gap of any pair within a window that ends at each second. */
  gapSlotSeconds: number[];
  /** Busy part of the slots while work waits, in each second; null where nothing waits. */
  utilisation: (number | null)[];
  /** Control bytes per node in each sampling period. */
  controlBytesPerNodePerSecond: { atSecond: number; value: number }[];
}

/** Use of one node, on average, at one size of the fleet. */
export interface ScalePoint {
  routers: number;
  accounts: number;
  bytesPerNodePerSecond: number;
  bytesPerRouterPerSecond: number;
  bytesPerSidecarPerSecond: number;
  cpuPercentOfCore: number;
  peakRssMb: number;
}

/** Growth of a node's use with the size of the fleet. */
export interface ScaleSlopes {
  bytesPerNodePerSecond: number;
  bytesPerRouterPerSecond: number;
  bytesPerSidecarPerSecond: number;
  cpuPercentOfCore: number;
  peakRssMb: number;
}

/** Points of the sweeps and slopes per router and per account. */
export interface ScaleFigures {
  byRouters: ScalePoint[];
  byAccounts: ScalePoint[];
  perRouter: ScaleSlopes;
  perAccount: ScaleSlopes;
}

/** What a result file holds beside the summary. */
export interface RunDetails {
  /** Use by a node of the fleet before the load, without any request. */
  idle: { cpuPercentOfCore: number; bytesPerNodePerSecond: number };
  /** Control bytes that a router sends on average, per second. */
  controlBytesPerRouterPerSecond: number;
  /** Control bytes that a sidecar sends on average, per second. */
  controlBytesPerSidecarPerSecond: number;
  outcomes: OutcomeCount[];
  pools: PoolFigures[];
  /** First-token times of the reported accounts without the flood, where the scenario has one. */
  baselineFirstTokenMs: RunSummary['firstTokenMs'] | null;
  /** Runs that started on a draining backend server more than 2 s after the order. */
  lateStarts: number;
  /** Faults that were caused, in order. */
  notes: string[];
  /** Sweeps, of the scenario `scale` only. */
  scale?: ScaleFigures;
}

/** One result file. */
export interface RunResult {
  summary: RunSummary;
  details: RunDetails;
  series: RunSeries;
}
