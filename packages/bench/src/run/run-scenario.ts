/** Runs one scenario on a fleet of its own. */
import { setTimeout as sleep } from 'node:timers/promises';
import { ProcessRole, mergeSettings, startFleet } from '../fleet/index.js';
import type { Fleet, Settings, Topology } from '../fleet/index.js';
import { createLoadClient } from '../load/index.js';
import type { AccountLoad, LoadClient } from '../load/index.js';
import { startNodeSampler } from '../observe/index.js';
import { Policy } from '../scenarios/index.js';
import type { DrainWindow, Scenario } from '../scenarios/index.js';
import { measureConfigSpread } from './config-spread.js';
import { createFleetBalancer, offerLoad } from './offer-load.js';
import { probeAddedFirstToken } from './probe.js';
import { waitUntilServing } from './readiness.js';
import { measureSeries } from './series.js';
import {
  bytesPerNode,
  countLateStarts,
  countOutcomes,
  firstTokenPercentiles,
  measureNodes,
  measurePools,
  summarise,
} from './summarise.js';
import type { RunRecords } from './summarise.js';
import type { RunResult, RunSummary } from './types.js';

/** Length of the measurement of the idle fleet. */
const IDLE_MS = 5000;

/** How a scenario is run. */
export interface RunOptions {
  scenario: Scenario;
  seed: number;
  policy: Policy;
  /** @default the scenario's own */
  routers?: number;
  /** @default the scenario's own */
  seconds?: number;
  /** Directory for the processes' output. @default a temporary one */
  logDirectory?: string;
  /** Told a line about every second. */
  onProgress: (line: string) => void;
  /** Told everything that was recorded of the load. */
  onRecorded?: (recorded: RunRecords) => void;
}

/** Settings that put a policy in force; `single` is the fair one with a router that sees all. */
const POLICY_SETTINGS: Record<Policy, Settings> = {
  [Policy.Fair]: { fairness: { policy: 'fair' } },
  [Policy.Naive]: { fairness: { policy: 'naive' } },
  [Policy.Single]: { fairness: { policy: 'fair' } },
};

/** A run with the options' defaults filled in. */
interface PlannedRun extends RunOptions {
  routers: number;
  seconds: number;
}

function plan(options: RunOptions): PlannedRun {
  const { scenario, policy } = options;
  const routers = options.routers ?? scenario.defaultRouters;
  return {
    ...options,
    routers: policy === Policy.Single ? 1 : routers,
    seconds: options.seconds ?? scenario.defaultSeconds,
  };
}

function createRunTopology({ scenario, policy, routers }: PlannedRun): Topology {
  const topology = scenario.topology(routers);
  const settings = POLICY_SETTINGS[policy];
  return {
    ...topology,
    routerSettings: mergeSettings(settings, topology.routerSettings),
    sidecarSettings: mergeSettings(settings, topology.sidecarSettings),
  };
}

/** Runs a job on a fresh fleet that is ended afterwards. */
async function withFleet<T>(
  run: PlannedRun,
  job: (fleet: Fleet, client: LoadClient) => Promise<T>,
): Promise<T> {
  const { seed, logDirectory, onProgress } = run;
  onProgress('starting processes');
  const topology = createRunTopology(run);
  const fleet = await startFleet({ topology, seed, directory: logDirectory });
  const client = createLoadClient();
  try {
    await waitUntilServing(fleet, 1);
    return await job(fleet, client);
  } finally {
    await client.close();
    await fleet.close();
  }
}

async function measureLoad(
  run: PlannedRun,
  fleet: Fleet,
  client: LoadClient,
  loads: readonly AccountLoad[],
): Promise<{ recorded: RunRecords; notes: string[]; drains: DrainWindow[] }> {
  const notes: string[] = [];
  const drains: DrainWindow[] = [];
  const recorded = await offerLoad({
    fleet,
    client,
    balancer: createFleetBalancer(fleet),
    seed: run.seed,
    seconds: run.seconds,
    loads,
    breakThings: run.scenario.injectFaults,
    note: (text) => notes.push(text),
    recordDrain: (window) => drains.push(window),
    onProgress: (sent, answered) => run.onProgress(`sent ${sent}, answered ${answered}`),
  });
  return { recorded, notes, drains };
}

/** First-token times of the reported accounts on the load without the flood. */
async function measureBaseline(run: PlannedRun): Promise<RunSummary['firstTokenMs'] | null> {
  const { baselineLoads, reportedAccounts } = run.scenario;
  if (baselineLoads === undefined) return null;
  const { recorded } = await withFleet(run, (fleet, client) =>
    measureLoad(run, fleet, client, baselineLoads),
  );
  return firstTokenPercentiles(recorded.records, reportedAccounts);
}

/** Use by a node while no request is about. */
async function measureIdle(fleet: Fleet): Promise<RunResult['details']['idle']> {
  const sampler = await startNodeSampler([...fleet.routers, ...fleet.sidecars]);
  await sleep(IDLE_MS);
  const { controlCpuPercentOfCore, controlBytesPerNodePerSecond } = measureNodes(
    await sampler.stop(),
  );
  return {
    cpuPercentOfCore: controlCpuPercentOfCore,
    bytesPerNodePerSecond: controlBytesPerNodePerSecond,
  };
}

/** Runs a scenario once and computes its figures. */
export async function runScenario(options: RunOptions): Promise<RunResult> {
  const run = plan(options);
  const { scenario, seed, policy, routers, seconds } = run;
  const baselineFirstTokenMs = await measureBaseline(run);
  const measured = await withFleet(run, async (fleet, client) => {
    run.onProgress('asking the idle fleet');
    const addedFirstTokenMs = await probeAddedFirstToken(fleet, client, createFleetBalancer(fleet));
    const configInForceMs = await measureConfigSpread(fleet);
    const idle = await measureIdle(fleet);
    const offered = await measureLoad(run, fleet, client, scenario.loads);
    return { addedFirstTokenMs, configInForceMs, idle, ...offered };
  });
  const { addedFirstTokenMs, configInForceMs, idle, recorded, notes, drains } = measured;
  run.onRecorded?.(recorded);
  const pools = measurePools(recorded);
  const { topology, records } = recorded;
  return {
    summary: {
      scenario: scenario.name,
      seed,
      policy,
      seconds,
      routers,
      backendServers: topology.backends.length,
      accounts: topology.accounts.length,
      ...summarise(recorded, pools),
      firstTokenMs: firstTokenPercentiles(records, scenario.reportedAccounts),
      addedFirstTokenMs,
      configInForceMs,
    },
    details: {
      idle,
      controlBytesPerRouterPerSecond: bytesPerNode(recorded.usage, ProcessRole.Router),
      controlBytesPerSidecarPerSecond: bytesPerNode(recorded.usage, ProcessRole.Sidecar),
      outcomes: countOutcomes(records),
      pools,
      baselineFirstTokenMs,
      lateStarts: countLateStarts(recorded.runs, drains),
      notes,
    },
    series: measureSeries(pools[0]?.pool ?? '', recorded),
  };
}
