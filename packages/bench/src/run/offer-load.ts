/** Sends a load to a running fleet, injects faults during it and collects the records. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '../fleet/index.js';
import { createBalancer, createRandom, createSchedule, runOpenLoop } from '../load/index.js';
import type { AccountLoad, Balancer, LoadClient } from '../load/index.js';
import { readJournals, startNodeSampler } from '../observe/index.js';
import type { DrainWindow, Scenario } from '../scenarios/index.js';
import { waitUntilReady } from './readiness.js';
import type { RunRecords } from './summarise.js';

/** Options of `offerLoad`. */
export interface LoadOptions {
  fleet: Fleet;
  client: LoadClient;
  balancer: Balancer;
  seed: number;
  seconds: number;
  loads: readonly AccountLoad[];
  /** Fault script that runs during the load. */
  injectFaults?: Scenario['injectFaults'];
  /** Called with the time and description of each step of the fault script. */
  note: (text: string) => void;
  /** Called with each period in which a backend server drains. */
  recordDrain: (window: DrainWindow) => void;
  /** Called with the number of requests sent and answered. */
  onProgress: (sent: number, answered: number) => void;
}

const MS_PER_SECOND = 1000;

/** Creates a load balancer over the routers of a fleet. */
export function createFleetBalancer(fleet: Fleet): Balancer {
  const { services, accounts } = fleet.topology;
  return createBalancer({
    routers: fleet.routers,
    accounts,
    pools: Object.fromEntries(Object.entries(services).map(([id, { pool }]) => [id, pool])),
  });
}

function runFaultScript(options: LoadOptions): Promise<void> {
  const { fleet, seed, seconds, injectFaults, balancer, recordDrain, note } = options;
  if (injectFaults === undefined) return Promise.resolve();
  const startMs = performance.now();
  return injectFaults({
    fleet,
    seconds,
    random: createRandom(seed, 'faults'),
    removeFromRotation: (router) => balancer.setInRotation(router.name, false),
    returnToRotation: async (router) => {
      // The platform's load balancer also sends requests to an instance only after a successful health check.
      await waitUntilReady(router);
      balancer.setInRotation(router.name, true);
    },
    recordDrain,
    waitForFraction: async (fraction) => {
      await sleep(Math.max(0, startMs + fraction * seconds * MS_PER_SECOND - performance.now()));
    },
    note: (text) =>
      note(`${((performance.now() - startMs) / MS_PER_SECOND).toFixed(1)} s: ${text}`),
  });
}

/** Sends the load, runs the fault script and resolves once every request has ended. */
export async function offerLoad(options: LoadOptions): Promise<RunRecords> {
  const { fleet, client, balancer, seed, seconds, loads, onProgress } = options;
  const schedule = createSchedule({ seed, seconds, loads });
  const sampler = await startNodeSampler([...fleet.routers, ...fleet.sidecars]);
  const startMs = performance.timeOrigin + performance.now();
  const [records] = await Promise.all([
    runOpenLoop({ schedule, send: (req) => balancer.send(client, req), onProgress }),
    runFaultScript(options),
  ]);
  const endMs = performance.timeOrigin + performance.now();
  const usage = await sampler.stop();
  const runs = await readJournals(fleet);
  return { topology: fleet.topology, records, runs, usage, load: { startMs, endMs } };
}
