/** Runs the soak test for one seed: router processes under load with faults injected into routers, backend servers and the store. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '@kingcupsill/bench';
import { createStoreStandin } from '../standins/store-standin.js';
import { createBackend, SOFTWARE_VERSIONS } from './backends.js';
import { startCallers } from './callers.js';
import type { Callers } from './callers.js';
import { createFaultSchedule, injectFault } from './faults.js';
import type { Fault, FaultTargets } from './faults.js';
import { findBreaches, findWorkAfterDeparture } from './find-breaches.js';
import { createOperator } from './operator.js';
import { createRouter } from './routers.js';
import type { Breach, Run } from './types.js';

export interface SoakOptions {
  seed: number;
  durationMs: number;
  /** @default 3 */
  routers?: number;
  /** @default 6 */
  servers?: number;
  /** @default 24 */
  callers?: number;
  /** Called at the start of each fault. */
  onFault?: (fault: Fault) => void;
}

export interface SoakResult {
  requests: number;
  /** Requests with status 200 and a complete answer. */
  served: number;
  faults: number;
  breaches: Breach[];
  /** Directory of the routers' logs. */
  dir: string;
}

/** Time after the last fault within which the fleet must have recovered: the notice time and one round of calls. */
const SETTLE_MS = 4500;
const CHECK_INTERVAL_MS = 400;
/** Minimum fraction of the requests sent after recovery that must be served. */
const MIN_SERVED_FRACTION = 0.9;
const RECOVERED_WINDOW_MS = 1500;

/** Runs one seed to completion, then closes every process and stand-in that it started. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {
    seed,
    durationMs,
    routers: routerCount = 3,
    servers: serverCount = 6,
    callers: callerCount = 24,
  } = options;
  const dir = await mkdtemp(join(tmpdir(), 'kingcupsill-soak-'));
  const store = await createStoreStandin();
  const runs: Run[] = [];
  const backends = await Promise.all(
    Array.from({ length: serverCount }, (_none, index) =>
      createBackend(
        `i-${index}`,
        SOFTWARE_VERSIONS[index % SOFTWARE_VERSIONS.length]!,
        store,
        (run) => runs.push(run),
      ),
    ),
  );
  backends.forEach((backend) => backend.register());
  const routers: Awaited<ReturnType<typeof createRouter>>[] = [];
  let callers: Callers | undefined;
  const operator = createOperator(store, routers, () => callers!);
  for (let index = 0; index < routerCount; index += 1) {
    routers.push(await createRouter(`router-${index}`, store.port, dir));
  }
  callers = startCallers({ routers, count: callerCount, random: createRandom(seed, 'callers') });
  const faults = createFaultSchedule(createRandom(seed, 'faults'), durationMs);
  const targets: FaultTargets = {
    routers,
    backends,
    store,
    operator,
    storeDisruptions: [],
    departures: [],
  };
  const injections = faults.map(async (fault) => {
    await delay(fault.atMs);
    options.onFault?.(fault);
    await injectFault(targets, fault);
  });
  let checking = true;
  const checkLoop = (async () => {
    while (checking) {
      await operator.checkConfigurations();
      await delay(CHECK_INTERVAL_MS);
    }
  })();
  await Promise.all(injections);
  await delay(SETTLE_MS);
  const recoveredFromMs = performance.now();
  await delay(RECOVERED_WINDOW_MS);
  const recoveredUntilMs = performance.now();
  await operator.checkFinalConfiguration();
  checking = false;
  await checkLoop;
  await callers.stop();
  await Promise.all(routers.map((router) => router.close()));
  backends.forEach((backend) => backend.close());
  store.close();

  const { calls } = callers;
  const routerDisruptions = new Map(routers.map(({ name, disruptions: spans }) => [name, spans]));
  const probePath = /^\/added-/;
  const { storeDisruptions, departures } = targets;
  const callerRequests = calls.filter(({ path }) => !probePath.test(path));
  const observations = {
    calls: callerRequests,
    runs,
    routerDisruptions,
    storeDisruptions,
    departures,
  };
  const breaches = [
    ...findBreaches(observations),
    ...findWorkAfterDeparture(observations),
    ...operator.breaches,
  ];
  const recoveredCalls = calls.filter(
    ({ sentAtMs }) => sentAtMs >= recoveredFromMs && sentAtMs <= recoveredUntilMs,
  );
  const servedRecovered = recoveredCalls.filter(
    ({ status, complete }) => status === 200 && complete,
  ).length;
  if (servedRecovered < recoveredCalls.length * MIN_SERVED_FRACTION) {
    const detail = `${servedRecovered} of ${recoveredCalls.length} served`;
    breaches.push({ promise: 'all is served after faults', detail });
  }
  return {
    requests: calls.length,
    served: calls.filter(({ status, complete }) => status === 200 && complete).length,
    faults: faults.length,
    breaches,
    dir,
  };
}
