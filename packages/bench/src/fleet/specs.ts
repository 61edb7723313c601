/** Builds the process specification of each role from a topology. */
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { mergeSettings } from './settings.js';
import { BackendKind, ProcessRole } from './types.js';
import type {
  BackendTopology,
  FleetProcess,
  ProcessSpec,
  Topology,
  ZoneTopology,
} from './types.js';

const HOST = '127.0.0.1';
const FLEET_KEY = 'bench-fleet-key-for-loopback';

/** Stand-in kind that emulates each kind of backend server. */
const STANDIN_KIND: Record<BackendKind, string> = {
  [BackendKind.Engine]: 'engine',
  [BackendKind.Plain]: 'app',
};

/** Input shared by all process specifications of a fleet. */
export interface SpecContext {
  topology: Topology;
  seed: number;
  /** Directory for the settings files and logs of the processes. */
  directory: string;
}

/** Returns the path of a compiled binary of another package. */
function programPath(packageName: string, file: string): string {
  return fileURLToPath(new URL(`../../../${packageName}/dist/bin/${file}`, import.meta.url));
}

function processFiles({ directory }: SpecContext, name: string) {
  return {
    settingsFile: join(directory, `${name}.ini`),
    logFile: join(directory, `${name}.log`),
  };
}

/** Creates the specification of the platform stand-in. */
export function platformSpec(context: SpecContext): ProcessSpec {
  const { zone, region } = context.topology.zones[0] as ZoneTopology;
  const base = { standin: { kind: 'platform', host: HOST, port: 0, seed: context.seed } };
  return {
    name: 'platform',
    role: ProcessRole.Standin,
    zone,
    region,
    script: programPath('standins', 'standin.js'),
    settings: mergeSettings(base, context.topology.platformSettings),
    portSettings: { port: 'standin.port' },
    ...processFiles(context, 'platform'),
  };
}

/** Creates the specification of the stand-in for a backend server. */
export function backendSpec(context: SpecContext, backend: BackendTopology): ProcessSpec {
  const index = context.topology.backends.indexOf(backend);
  const kind = STANDIN_KIND[backend.kind];
  const base = { standin: { kind, host: HOST, port: 0, seed: context.seed + index + 1 } };
  return {
    name: backend.id,
    role: ProcessRole.Standin,
    zone: backend.zone,
    region: backend.region,
    script: programPath('standins', 'standin.js'),
    settings: mergeSettings(base, backend.settings),
    portSettings: { port: 'standin.port' },
    ...processFiles(context, backend.id),
  };
}

/** Creates the specification of the sidecar of a backend server. */
export function sidecarSpec(
  context: SpecContext,
  backend: BackendTopology,
  backendUrl: string,
  platformUrl: string,
): ProcessSpec {
  const name = `sidecar-${backend.id}`;
  const base = {
    process: { id: name, zone: backend.zone, region: backend.region },
    backend: { id: backend.id, url: backendUrl, kind: backend.kind },
    data: { host: HOST, port: 0 },
    link: { fleet_key: FLEET_KEY },
    admin: { host: HOST, port: 0 },
    platform: { url: platformUrl },
  };
  return {
    name,
    role: ProcessRole.Sidecar,
    zone: backend.zone,
    region: backend.region,
    script: programPath('sidecar', 'sidecar.js'),
    settings: mergeSettings(base, context.topology.sidecarSettings),
    portSettings: { dataPort: 'data.port', adminPort: 'admin.port' },
    ...processFiles(context, name),
  };
}

/** Creates the specification of a router in an availability zone. */
export function routerSpec(
  context: SpecContext,
  zone: ZoneTopology,
  index: number,
  platform: Pick<FleetProcess, 'url'>,
): ProcessSpec {
  const name = `router-${zone.zone}-${index + 1}`;
  const base = {
    process: { id: name, zone: zone.zone, region: zone.region },
    callers: { host: HOST, port: 0 },
    link: { host: HOST, port: 0, fleet_key: FLEET_KEY },
    admin: { host: HOST, port: 0 },
    platform: { url: platform.url },
  };
  return {
    name,
    role: ProcessRole.Router,
    zone: zone.zone,
    region: zone.region,
    script: programPath('router', 'router.js'),
    settings: mergeSettings(base, context.topology.routerSettings),
    portSettings: { callersPort: 'callers.port', linkPort: 'link.port', adminPort: 'admin.port' },
    ...processFiles(context, name),
  };
}
