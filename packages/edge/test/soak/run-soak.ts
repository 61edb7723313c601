/** Plays one seed: routers as processes, callers, servers and a store that misbehave, and checks the promises. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '@kingcupsill/bench';
import { createStoreStandin } from '../standins/store-standin.js';
import { createBackend } from './backends.js';
import { startCallers } from './callers.js';
import type { Callers } from './callers.js';
import { drawSchedule, playFault } from './faults.js';
import type { Fault, Targets } from './faults.js';
import { createOperator } from './operator.js';
import { findBreaches, findWorkAfterLeaving } from './promises.js';
import { createRouter } from './routers.js';
import type { Breach, Run } from './types.js';

export interface SoakOptions {
  seed: number;
  lengthMs: number;
  /** @default 3 */
  routers?: number;
  /** @default 6 */
  servers?: number;
  /** @default 24 */
  callers?: number;
  /** Told when each fault begins. */
  onFault?: (fault: Fault) => void;
}

export interface SoakResult {
  requests: number;
  /** Requests that got their whole answer. */
  served: number;
  faults: number;
  breaches: Breach[];
  /** Folder of the routers' logs. */
  dir: string;
}

/** All is back and must be in force after this time: the notice time and one round of calls. */
const SETTLE_MS = 4500;
const LOOK_PERIOD_MS = 400;
/** Of the requests sent after all faults, this part must be served. */
const SERVED_AFTER = 0.9;
const CALM_MS = 1500;

/** Plays one seed to its end and closes all that it started. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, lengthMs, routers: routerCount = 3, servers = 6, callers: count = 24 } = options;
  const dir = await mkdtemp(join(tmpdir(), 'kingcupsill-soak-'));
  const store = await createStoreStandin();
  const runs: Run[] = [];
  const backends = await Promise.all(
    Array.from({ length: servers }, (_none, index) =>
      createBackend(`i-${index}`, store, (run) => runs.push(run)),
    ),
  );
  backends.forEach((backend) => backend.register());
  const routers: Awaited<ReturnType<typeof createRouter>>[] = [];
  let callers: Callers | undefined;
  const operator = createOperator(store, routers, () => callers!);
  for (let index = 0; index < routerCount; index += 1) {
    routers.push(await createRouter(`router-${index}`, store.port, dir));
  }
  callers = startCallers({ routers, count, random: createRandom(seed, 'callers') });
  const faults = drawSchedule(createRandom(seed, 'faults'), lengthMs);
  const targets: Targets = {
    routers,
    backends,
    store,
    operator,
    storeDisturbances: [],
    leavings: [],
  };
  const playing = faults.map(async (fault) => {
    await delay(fault.atMs);
    options.onFault?.(fault);
    await playFault(targets, fault);
  });
  let looking = true;
  const looks = (async () => {
    while (looking) {
      await operator.look();
      await delay(LOOK_PERIOD_MS);
    }
  })();
  await Promise.all(playing);
  await delay(SETTLE_MS);
  const calmFromMs = performance.now();
  await delay(CALM_MS);
  const calmUntilMs = performance.now();
  await operator.lookAtEnd();
  looking = false;
  await looks;
  await callers.stop();
  await Promise.all(routers.map((router) => router.close()));
  backends.forEach((backend) => backend.close());
  store.close();

  const { calls } = callers;
  const disturbances = new Map(routers.map(({ name, disturbances: spans }) => [name, spans]));
  const probes = /^\/added-/;
  const { storeDisturbances, leavings } = targets;
  const own = calls.filter(({ path }) => !probes.test(path));
  const seen = { calls: own, runs, disturbances, storeDisturbances, leavings };
  const breaches = [...findBreaches(seen), ...findWorkAfterLeaving(seen), ...operator.breaches];
  const calm = calls.filter(({ sentAtMs }) => sentAtMs >= calmFromMs && sentAtMs <= calmUntilMs);
  const servedCalm = calm.filter(({ status, whole }) => status === 200 && whole).length;
  if (servedCalm < calm.length * SERVED_AFTER) {
    const detail = `${servedCalm} of ${calm.length} served`;
    breaches.push({ promise: 'all is served after faults', detail });
  }
  return {
    requests: calls.length,
    served: calls.filter(({ status, whole }) => status === 200 && whole).length,
    faults: faults.length,
    breaches,
    dir,
  };
}
