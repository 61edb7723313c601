/** Runs the soak test for one seed: router processes under load with faults injected into routers, backend servers and the store. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '@kingcupsill/bench';
import { createStoreStandin } from '../standins/store-standin.js';
import { createBackend } from './backends.js';
import { startCallers } from './callers.js';
import type { Callers } from './callers.js';
import { createFaultSchedule, injectFault } from './faults.js';
import type { Fault, FaultKind, FaultTargets } from './faults.js';
import { findBreaches, findWorkAfterDeparture } from './find-breaches.js';
import type { Observations } from './find-breaches.js';
import { findCutAnswers, findCutsInStops, findProcessBreaches } from './find-process-breaches.js';
import type { CutAnswer } from './find-process-breaches.js';
import { createOperator } from './operator.js';
import { createRouter } from './routers.js';
import type { Router } from './routers.js';
import type { Breach, Call, ProcessRecord, Run } from './types.js';
import { Service, SOFTWARE_VERSIONS } from './workload.js';

/** Deployment and load of a run, unless its options differ. */
export const DEFAULTS = {
  routers: 5,
  streamServers: 6,
  plainServers: 3,
  callers: 30,
  accounts: 16,
  /** Requests of all callers per second. */
  ratePerS: 140,
  /** Fraction of the requests with long work, of those with a late last byte, and of those that are read slowly. */
  unusualFraction: 0.04,
  /** Grace period of planned stops. */
  graceS: 8,
  /** Limit of each router process. */
  memoryLimitMb: 350,
  /** Range of the time from each start of a process to a SIGHUP. */
  minReloadDelayMs: 0,
  maxReloadDelayMs: 300,
  /** 1 if that time counts from when the process has a handler of SIGHUP. */
  reloadsFromHandler: 0,
  meanFaultIntervalMs: 700,
};

export interface SoakOptions extends Partial<typeof DEFAULTS> {
  seed: number;
  durationMs: number;
  /** Kinds of faults; all if undefined. */
  faultKinds?: readonly FaultKind[];
  /** Called at the start of each fault. */
  onFault?: (fault: Fault) => void;
}

type CompleteOptions = SoakOptions & typeof DEFAULTS;

export interface SoakResult {
  requests: number;
  /** Requests with status 200 and a complete answer. */
  served: number;
  faults: number;
  breaches: Breach[];
  processes: ProcessRecord[];
  cutAnswers: CutAnswer[];
  /** Longest delay of the soak's own event loop. Callers, servers and the store share it. */
  ownLagMs: number;
  /** Directory of the routers' logs. */
  dir: string;
}

/** Time after the last fault within which the fleet must have recovered: the notice time and one round of calls. */
const SETTLE_MS = 4500;
const CHECK_INTERVAL_MS = 400;
/** Minimum fraction of the requests sent after recovery that must be served. */
const MIN_SERVED_FRACTION = 0.9;
const RECOVERED_WINDOW_MS = 1500;
/** Number of requests that servers run at a time. */
const SLOTS: Record<Service, number> = { [Service.Streams]: 64, [Service.Plain]: 6 };
const LAG_RESOLUTION_MS = 10;
const NS_PER_MS = 1e6;

function isServed({ status, complete }: Call): boolean {
  return status === 200 && complete;
}

async function createTargets(options: CompleteOptions, callers: () => Callers, runs: Run[]) {
  const { seed, streamServers, plainServers, accounts, graceS } = options;
  const { minReloadDelayMs, maxReloadDelayMs, reloadsFromHandler } = options;
  const dir = await mkdtemp(join(tmpdir(), 'kingcupsill-soak-'));
  const store = await createStoreStandin();
  const services = [
    ...Array.from({ length: streamServers }, () => Service.Streams),
    ...Array.from({ length: plainServers }, () => Service.Plain),
  ];
  const backends = await Promise.all(
    services.map((service, index) => {
      const version = SOFTWARE_VERSIONS[index % SOFTWARE_VERSIONS.length]!;
      const entry = { id: `i-${index}`, version, service, slots: SLOTS[service] };
      return createBackend(entry, store, (run) => runs.push(run));
    }),
  );
  backends.forEach((backend) => backend.register());
  const routers: Router[] = [];
  const operator = createOperator(store, routers, callers, accounts);
  const random = createRandom(seed, 'signals');
  const routerOptions = {
    storePort: store.port,
    dir,
    graceS,
    firstReloadDelayMs: () => minReloadDelayMs + random() * (maxReloadDelayMs - minReloadDelayMs),
    reloadsFromHandler: reloadsFromHandler > 0,
  };
  for (let index = 0; index < options.routers; index += 1) {
    routers.push(await createRouter(`router-${index}`, routerOptions));
  }
  const targets: FaultTargets = {
    routers,
    backends,
    store,
    operator,
    storeDisruptions: [],
    departures: [],
    serverDisruptions: [],
  };
  return { targets, dir };
}

async function injectFaults(targets: FaultTargets, options: CompleteOptions): Promise<number> {
  const { seed, durationMs, meanFaultIntervalMs, faultKinds, onFault } = options;
  const faults = createFaultSchedule({
    random: createRandom(seed, 'faults'),
    runDurationMs: durationMs,
    meanIntervalMs: meanFaultIntervalMs,
    kinds: faultKinds,
  });
  const injections = faults.map(async (fault) => {
    await delay(fault.atMs);
    onFault?.(fault);
    await injectFault(targets, fault);
  });
  await Promise.all(injections);
  return faults.length;
}

/** Checks that requests are served again, after the last fault. */
async function checkRecovery(calls: readonly Call[]): Promise<() => Breach[]> {
  await delay(SETTLE_MS);
  const fromMs = performance.now();
  await delay(RECOVERED_WINDOW_MS);
  const untilMs = performance.now();
  return () => {
    const recovered = calls.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs <= untilMs);
    const served = recovered.filter(isServed).length;
    if (served >= recovered.length * MIN_SERVED_FRACTION) return [];
    const detail = `${served} of ${recovered.length} served`;
    return [{ promise: 'all is served after faults', detail }];
  };
}

function observe(
  { routers, storeDisruptions, serverDisruptions, departures }: FaultTargets,
  calls: readonly Call[],
  runs: readonly Run[],
  graceS: number,
): Observations {
  const probePath = /^\/added-/;
  return {
    calls: calls.filter(({ path }) => !probePath.test(path)),
    runs,
    routerDisruptions: new Map(routers.map(({ name, disruptions }) => [name, disruptions])),
    processes: routers.flatMap(({ processes }) => processes),
    storeDisruptions,
    serverDisruptions,
    departures,
    graceMs: graceS * 1000,
  };
}

/** Runs one seed to completion, then closes every process and stand-in that it started. */
export async function runSoak(soakOptions: SoakOptions): Promise<SoakResult> {
  const options = { ...DEFAULTS, ...soakOptions };
  const { seed, callers: count } = options;
  const runs: Run[] = [];
  let callers: Callers | undefined;
  const { targets, dir } = await createTargets(options, () => callers!, runs);
  const { routers, operator } = targets;
  const lag = monitorEventLoopDelay({ resolution: LAG_RESOLUTION_MS });
  lag.enable();
  const random = createRandom(seed, 'callers');
  callers = startCallers({ ...options, routers, count, random });
  let checking = true;
  const checkLoop = (async () => {
    while (checking) {
      await operator.checkConfigurations();
      await delay(CHECK_INTERVAL_MS);
    }
  })();
  const faults = await injectFaults(targets, options);
  const findRecoveryBreaches = await checkRecovery(callers.calls);
  await operator.checkFinalConfiguration();
  checking = false;
  await checkLoop;
  await callers.stop();
  lag.disable();
  await Promise.all(routers.map((router) => router.close()));
  targets.backends.forEach((backend) => backend.close());
  targets.store.close();

  const { calls } = callers;
  const observations = observe(targets, calls, runs, options.graceS);
  const cutAnswers = findCutAnswers(observations);
  return {
    requests: calls.length,
    served: calls.filter(isServed).length,
    faults,
    breaches: [
      ...findProcessBreaches(observations.processes, options.memoryLimitMb),
      ...findCutsInStops(cutAnswers),
      ...findBreaches(observations),
      ...findWorkAfterDeparture(observations),
      ...operator.breaches,
      ...findRecoveryBreaches(),
    ],
    processes: [...observations.processes],
    cutAnswers,
    ownLagMs: lag.max / NS_PER_MS - LAG_RESOLUTION_MS,
    dir,
  };
}
