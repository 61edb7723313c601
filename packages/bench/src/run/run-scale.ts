/** Sweeps the numbers of routers and accounts and fits a line to the resource usage per node. */
import { fitLine } from '../measure/index.js';
import { backlogScenario, lightScenario } from '../scenarios/index.js';
import { runScenario } from './run-scenario.js';
import type { RunOptions } from './run-scenario.js';
import type { RunResult, ScalePoint, ScaleSlopes } from './types.js';

const ROUTER_COUNTS = [3, 6, 12, 24, 48, 60];
const ACCOUNT_COUNTS = [16, 400, 4000];
const ACCOUNT_SWEEP_ROUTERS = 6;

/** Options of the sweeps; `routers` is the maximum number of routers. */
export type ScaleOptions = Omit<RunOptions, 'scenario'>;

function toScalePoint({ summary, details }: RunResult): ScalePoint {
  return {
    routers: summary.routers,
    accounts: summary.accounts,
    bytesPerNodePerSecond: summary.controlBytesPerNodePerSecond ?? 0,
    bytesPerRouterPerSecond: details.controlBytesPerRouterPerSecond,
    bytesPerSidecarPerSecond: details.controlBytesPerSidecarPerSecond,
    cpuPercentOfCore: summary.controlCpuPercentOfCore ?? 0,
    peakRssMb: summary.peakRssMb ?? 0,
  };
}

/** Fits a line to each usage figure over the numbers of routers or accounts and returns the slopes. */
function fitSlopes(points: readonly ScalePoint[], dimension: 'routers' | 'accounts'): ScaleSlopes {
  const slopeOf = (field: keyof ScaleSlopes) =>
    fitLine(points.map((point) => ({ x: point[dimension], y: point[field] }))).slope;
  return {
    bytesPerNodePerSecond: slopeOf('bytesPerNodePerSecond'),
    bytesPerRouterPerSecond: slopeOf('bytesPerRouterPerSecond'),
    bytesPerSidecarPerSecond: slopeOf('bytesPerSidecarPerSecond'),
    cpuPercentOfCore: slopeOf('cpuPercentOfCore'),
    peakRssMb: slopeOf('peakRssMb'),
  };
}

/** Runs both sweeps; returns the result of the run with the most routers, with the sweeps in its details. */
export async function runScale(options: ScaleOptions): Promise<RunResult> {
  const { routers: maxRouters = Infinity, onProgress } = options;
  const routerCounts = ROUTER_COUNTS.filter((count) => count <= maxRouters);
  const routerSweepResults: RunResult[] = [];
  for (const routers of routerCounts) {
    onProgress(`${routers} routers`);
    routerSweepResults.push(await runScenario({ ...options, scenario: lightScenario(), routers }));
  }
  const byAccounts: ScalePoint[] = [];
  for (const accounts of ACCOUNT_COUNTS) {
    onProgress(`${accounts} accounts`);
    const scenario = backlogScenario(accounts);
    const routers = ACCOUNT_SWEEP_ROUTERS;
    byAccounts.push(toScalePoint(await runScenario({ ...options, scenario, routers })));
  }
  const byRouters = routerSweepResults.map(toScalePoint);
  const largestResult = routerSweepResults.at(-1) as RunResult;
  const scale = {
    byRouters,
    byAccounts,
    perRouter: fitSlopes(byRouters, 'routers'),
    perAccount: fitSlopes(byAccounts, 'accounts'),
  };
  return { ...largestResult, details: { ...largestResult.details, scale } };
}
