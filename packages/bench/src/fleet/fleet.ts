/** Starts a fleet of real processes on the loopback interface and stops it. */
import { mkdir, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createConfigDocument } from './config-document.js';
import { registerRouter, writeConfig } from './platform-admin.js';
import { startProcess } from './process.js';
import { backendSpec, platformSpec, routerSpec, sidecarSpec } from './specs.js';
import type { SpecContext } from './specs.js';
import type { Fleet, FleetProcess, ProcessSpec, Topology } from './types.js';

/** Number of processes started concurrently. */
const START_BATCH_SIZE = 6;

/** Starts processes in consecutive batches, in the given order, and adds each to `started`. */
async function startInBatches(
  specs: ProcessSpec[],
  started: Map<string, FleetProcess>,
): Promise<FleetProcess[]> {
  const processes: FleetProcess[] = [];
  for (let offset = 0; offset < specs.length; offset += START_BATCH_SIZE) {
    const batch = await Promise.allSettled(
      specs.slice(offset, offset + START_BATCH_SIZE).map(async (spec) => {
        const fleetProcess = await startProcess(spec);
        started.set(spec.name, fleetProcess);
        return fleetProcess;
      }),
    );
    batch.forEach((result) => {
      if (result.status === 'rejected') throw result.reason;
      processes.push(result.value);
    });
  }
  return processes;
}

/** Starts the platform stand-in, the backend servers with the routers, then the sidecars. */
async function startByRole(context: SpecContext, started: Map<string, FleetProcess>) {
  const { topology } = context;
  const [platform] = (await startInBatches([platformSpec(context)], started)) as [FleetProcess];
  await writeConfig(platform, createConfigDocument(topology));
  const routerSpecs = topology.zones.flatMap((zone) =>
    Array.from({ length: zone.routers }, (_, i) => routerSpec(context, zone, i, platform)),
  );
  const backendSpecs = topology.backends.map((backend) => backendSpec(context, backend));
  const processes = await startInBatches([...backendSpecs, ...routerSpecs], started);
  const backends = processes.slice(0, backendSpecs.length);
  const routers = processes.slice(backendSpecs.length);
  await Promise.all(routers.map((router) => registerRouter(platform, router)));
  const sidecarSpecs = topology.backends.map((backend, i) =>
    sidecarSpec(context, backend, (backends[i] as FleetProcess).url, platform.url),
  );
  const sidecars = await startInBatches(sidecarSpecs, started);
  return { platform, backends, routers, sidecars };
}

/** Options of `startFleet`. */
export interface FleetOptions {
  topology: Topology;
  seed: number;
  /** Directory for settings and output, kept after `close`. @default a temporary directory, removed by `close` */
  directory?: string;
}

/** Starts every process of a topology; if one fails to start, stops the others and rejects. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { topology, seed } = options;
  const directory = options.directory ?? (await mkdtemp(join(tmpdir(), 'kingcupsill-')));
  await mkdir(directory, { recursive: true });
  const context = { topology, seed, directory };
  const started = new Map<string, FleetProcess>();
  const close = async () => {
    await Promise.all([...started.values()].map((fleetProcess) => fleetProcess.kill()));
    if (options.directory === undefined) await rm(directory, { recursive: true, force: true });
  };
  try {
    const roles = await startByRole(context, started);
    const get = (name: string) => {
      const found = started.get(name);
      if (found === undefined) throw new Error(`no process named ${name} in the fleet`);
      return found;
    };
    return { topology, directory, ...roles, get, close };
  } catch (err) {
    await close();
    throw err;
  }
}
