/** Sweeps the number of routers and of accounts and fits lines through what a node uses. */
import { fitLine } from '../measure/index.js';
import { backlogScenario, lightScenario } from '../scenarios/index.js';
import { runScenario } from './run-scenario.js';
import type { RunOptions } from './run-scenario.js';
import type { RunResult, ScalePoint, ScaleSlopes } from './types.js';

const ROUTER_COUNTS = [3, 6, 12, 24, 48, 60];
const ACCOUNT_COUNTS = [16, 400, 4000];
const ROUTERS_OF_ACCOUNT_SWEEP = 6;

/** How the sweep is run; `routers` is the largest number of routers. */
export type ScaleOptions = Omit<RunOptions, 'scenario'>;

function toPoint({ summary, details }: RunResult): ScalePoint {
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

function fitSlopes(points: readonly ScalePoint[], size: 'routers' | 'accounts'): ScaleSlopes {
  const slopeOf = (field: keyof ScaleSlopes) =>
    fitLine(points.map((point) => ({ x: point[size], y: point[field] }))).slope;
  return {
    bytesPerNodePerSecond: slopeOf('bytesPerNodePerSecond'),
    bytesPerRouterPerSecond: slopeOf('bytesPerRouterPerSecond'),
    bytesPerSidecarPerSecond: slopeOf('bytesPerSidecarPerSecond'),
    cpuPercentOfCore: slopeOf('cpuPercentOfCore'),
    peakRssMb: slopeOf('peakRssMb'),
  };
}

/** Runs both sweeps; the summary is that of the largest number of routers. */
export async function runScale(options: ScaleOptions): Promise<RunResult> {
  const { routers: largest = Infinity, onProgress } = options;
  const counts = ROUTER_COUNTS.filter((count) => count <= largest);
  const results: RunResult[] = [];
  for (const routers of counts) {
    onProgress(`${routers} routers`);
    results.push(await runScenario({ ...options, scenario: lightScenario(), routers }));
  }
  const byAccounts: ScalePoint[] = [];
  for (const accounts of ACCOUNT_COUNTS) {
    onProgress(`${accounts} accounts`);
    const scenario = backlogScenario(accounts);
    const routers = ROUTERS_OF_ACCOUNT_SWEEP;
    byAccounts.push(toPoint(await runScenario({ ...options, scenario, routers })));
  }
  const byRouters = results.map(toPoint);
  const last = results.at(-1) as RunResult;
  const scale = {
    byRouters,
    byAccounts,
    perRouter: fitSlopes(byRouters, 'routers'),
    perAccount: fitSlopes(byAccounts, 'accounts'),
  };
  return { ...last, details: { ...last.details, scale } };
}
