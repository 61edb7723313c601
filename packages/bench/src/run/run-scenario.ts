/** Runs a scenario on a dedicated fleet. */
import { setTimeout as sleep } from 'node:timers/promises';
import { ProcessRole, mergeSettings, startFleet } from '../fleet/index.js';
import type { Fleet, Settings, Topology } from '../fleet/index.js';
import { createLoadClient } from '../load/index.js';
import type { AccountLoad, LoadClient } from '../load/index.js';
import { startNodeSampler } from '../observe/index.js';
import { Policy } from '../scenarios/index.js';
import type { DrainWindow, Scenario } from '../scenarios/index.js';
import { measureConfigPropagation } from './config-propagation.js';
import { createFleetBalancer, offerLoad } from './offer-load.js';
import { measureAddedFirstToken } from './added-first-token.js';
import { waitUntilServing } from './readiness.js';
import { measureSeries } from './series.js';
import {
  measureBytesPerNode,
  countLateStarts,
  countOutcomes,
  firstTokenPercentiles,
  measureNodes,
  measurePools,
  summarise,
} from './summarise.js';
import type { RunRecords } from './summarise.js';
import type { RunResult, RunSummary } from './types.js';

/** Duration of the idle measurement. */
const IDLE_MEASUREMENT_MS = 5000;

/** Options of `runScenario`. */
export interface RunOptions {
  scenario: Scenario;
  seed: number;
  policy: Policy;
  /** Number of routers. @default the scenario's */
  routers?: number;
  /** Duration of the load in seconds. @default the scenario's */
  seconds?: number;
  /** Directory for settings files and logs of the processes. @default a temporary directory */
  logDirectory?: string;
  /** Called with a progress line, about once a second during the load. */
  onProgress: (line: string) => void;
  /** Called with all records of the load. */
  onRecorded?: (recorded: RunRecords) => void;
}

/** Settings of each policy; `single` is the fair policy with one router that handles all requests. */
const POLICY_SETTINGS: Record<Policy, Settings> = {
  [Policy.Fair]: { fairness: { policy: 'fair' } },
  [Policy.Naive]: { fairness: { policy: 'naive' } },
  [Policy.Single]: { fairness: { policy: 'fair' } },
};

/** Run options with defaults applied. */
interface ResolvedRunOptions extends RunOptions {
  routers: number;
  seconds: number;
}

function resolveOptions(options: RunOptions): ResolvedRunOptions {
  const { scenario, policy } = options;
  const routers = options.routers ?? scenario.defaultRouters;
  return {
    ...options,
    routers: policy === Policy.Single ? 1 : routers,
    seconds: options.seconds ?? scenario.defaultSeconds,
  };
}

function createRunTopology({ scenario, policy, routers }: ResolvedRunOptions): Topology {
  const topology = scenario.topology(routers);
  const settings = POLICY_SETTINGS[policy];
  return {
    ...topology,
    routerSettings: mergeSettings(settings, topology.routerSettings),
    sidecarSettings: mergeSettings(settings, topology.sidecarSettings),
  };
}

/** Starts a fleet, calls back with it and closes it afterwards. */
async function withFleet<T>(
  run: ResolvedRunOptions,
  callback: (fleet: Fleet, client: LoadClient) => Promise<T>,
): Promise<T> {
  const { seed, logDirectory, onProgress } = run;
  onProgress('starting processes');
  const topology = createRunTopology(run);
  const fleet = await startFleet({ topology, seed, directory: logDirectory });
  const client = createLoadClient();
  try {
    await waitUntilServing(fleet, 1);
    return await callback(fleet, client);
  } finally {
    await client.close();
    await fleet.close();
  }
}

/** Sends a load to the fleet and returns its records, fault script notes and drain periods. */
async function measureLoad(
  run: ResolvedRunOptions,
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
    injectFaults: run.scenario.injectFaults,
    note: (text) => notes.push(text),
    recordDrain: (window) => drains.push(window),
    onProgress: (sent, answered) => run.onProgress(`sent ${sent}, answered ${answered}`),
  });
  return { recorded, notes, drains };
}

/** Measures the first-token latency of the reported accounts under the baseline load; null if the scenario has none. */
async function measureBaseline(
  run: ResolvedRunOptions,
): Promise<RunSummary['firstTokenMs'] | null> {
  const { baselineLoads, reportedAccounts } = run.scenario;
  if (baselineLoads === undefined) return null;
  const { recorded } = await withFleet(run, (fleet, client) =>
    measureLoad(run, fleet, client, baselineLoads),
  );
  return firstTokenPercentiles(recorded.records, reportedAccounts);
}

/** Measures the mean CPU and control traffic of a node while no requests are in progress. */
async function measureIdleUsage(fleet: Fleet): Promise<RunResult['details']['idle']> {
  const sampler = await startNodeSampler([...fleet.routers, ...fleet.sidecars]);
  await sleep(IDLE_MEASUREMENT_MS);
  const { controlCpuPercentOfCore, controlBytesPerNodePerSecond } = measureNodes(
    await sampler.stop(),
  );
  return {
    cpuPercentOfCore: controlCpuPercentOfCore,
    bytesPerNodePerSecond: controlBytesPerNodePerSecond,
  };
}

/** Runs a scenario once and computes its result. */
export async function runScenario(options: RunOptions): Promise<RunResult> {
  const run = resolveOptions(options);
  const { scenario, seed, policy, routers, seconds } = run;
  const baselineFirstTokenMs = await measureBaseline(run);
  const measured = await withFleet(run, async (fleet, client) => {
    run.onProgress('measuring the idle fleet');
    const addedFirstTokenMs = await measureAddedFirstToken(
      fleet,
      client,
      createFleetBalancer(fleet),
    );
    const configInForceMs = await measureConfigPropagation(fleet);
    const idle = await measureIdleUsage(fleet);
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
      controlBytesPerRouterPerSecond: measureBytesPerNode(recorded.usage, ProcessRole.Router),
      controlBytesPerSidecarPerSecond: measureBytesPerNode(recorded.usage, ProcessRole.Sidecar),
      outcomes: countOutcomes(records),
      pools,
      baselineFirstTokenMs,
      lateStarts: countLateStarts(recorded.runs, drains),
      notes,
    },
    series: measureSeries(pools[0]?.pool ?? '', recorded),
  };
}
