/** Starts a whole fleet of real processes on loopback and ends it. */
import { mkdir, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createConfigDocument } from './config-document.js';
import { registerRouter, writeConfig } from './platform-admin.js';
import { startProcess } from './process.js';
import { backendSpec, platformSpec, routerSpec, sidecarSpec } from './specs.js';
import type { SpecContext } from './specs.js';
import type { Fleet, FleetProcess, ProcessSpec, Topology } from './types.js';

/** Processes that start at the same time. */
const START_BATCH = 6;

/** Starts processes a batch at a time, in the order given. */
async function startAll(
  specs: ProcessSpec[],
  started: Map<string, FleetProcess>,
): Promise<FleetProcess[]> {
  const processes: FleetProcess[] = [];
  for (let at = 0; at < specs.length; at += START_BATCH) {
    const batch = await Promise.allSettled(
      specs.slice(at, at + START_BATCH).map(async (spec) => {
        const running = await startProcess(spec);
        started.set(spec.name, running);
        return running;
      }),
    );
    batch.forEach((outcome) => {
      if (outcome.status === 'rejected') throw outcome.reason;
      processes.push(outcome.value);
    });
  }
  return processes;
}

async function startRoles(context: SpecContext, started: Map<string, FleetProcess>) {
  const { topology } = context;
  const [platform] = (await startAll([platformSpec(context)], started)) as [FleetProcess];
  await writeConfig(platform, createConfigDocument(topology));
  const routerSpecs = topology.zones.flatMap((zone) =>
    Array.from({ length: zone.routers }, (_, i) => routerSpec(context, zone, i, platform)),
  );
  const backendSpecs = topology.backends.map((backend) => backendSpec(context, backend));
  const processes = await startAll([...backendSpecs, ...routerSpecs], started);
  const backends = processes.slice(0, backendSpecs.length);
  const routers = processes.slice(backendSpecs.length);
  await Promise.all(routers.map((router) => registerRouter(platform, router)));
  const sidecarSpecs = topology.backends.map((backend, i) =>
    sidecarSpec(context, backend, (backends[i] as FleetProcess).url, platform.url),
  );
  const sidecars = await startAll(sidecarSpecs, started);
  return { platform, backends, routers, sidecars };
}

/** What a fleet is started with. */
export interface FleetOptions {
  topology: Topology;
  seed: number;
  /** Directory for the processes' output, kept afterwards. @default a temporary one, removed */
  directory?: string;
}

/** Starts every process of a topology. Ends what it started when one of them fails. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { topology, seed } = options;
  const directory = options.directory ?? (await mkdtemp(join(tmpdir(), 'kingcupsill-')));
  await mkdir(directory, { recursive: true });
  const context = { topology, seed, directory };
  const started = new Map<string, FleetProcess>();
  const close = async () => {
    await Promise.all([...started.values()].map((running) => running.kill()));
    if (options.directory === undefined) await rm(directory, { recursive: true, force: true });
  };
  try {
    const roles = await startRoles(context, started);
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
