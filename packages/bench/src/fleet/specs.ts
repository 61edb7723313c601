/** Process specifications of each role, from a topology. */
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

/** Kind of stand-in that emulates each kind of backend server. */
const STANDIN_KIND: Record<BackendKind, string> = {
  [BackendKind.Engine]: 'engine',
  [BackendKind.Plain]: 'app',
};

/** What the specifications of one fleet have in common. */
export interface SpecContext {
  topology: Topology;
  seed: number;
  /** Directory for the processes' settings and output. */
  directory: string;
}

/** Compiled program of another package. */
function program(packageName: string, file: string): string {
  return fileURLToPath(new URL(`../../../${packageName}/dist/bin/${file}`, import.meta.url));
}

function filesOf({ directory }: SpecContext, name: string) {
  return {
    settingsFile: join(directory, `${name}.ini`),
    logFile: join(directory, `${name}.log`),
  };
}

/** The platform stand-in. */
export function platformSpec(context: SpecContext): ProcessSpec {
  const { zone, region } = context.topology.zones[0] as ZoneTopology;
  const base = { standin: { kind: 'platform', host: HOST, port: 0, seed: context.seed } };
  return {
    name: 'platform',
    role: ProcessRole.Standin,
    zone,
    region,
    script: program('standins', 'standin.js'),
    settings: mergeSettings(base, context.topology.platformSettings),
    portSettings: { port: 'standin.port' },
    ...filesOf(context, 'platform'),
  };
}

/** The stand-in of one backend server. */
export function backendSpec(context: SpecContext, backend: BackendTopology): ProcessSpec {
  const index = context.topology.backends.indexOf(backend);
  const kind = STANDIN_KIND[backend.kind];
  const base = { standin: { kind, host: HOST, port: 0, seed: context.seed + index + 1 } };
  return {
    name: backend.id,
    role: ProcessRole.Standin,
    zone: backend.zone,
    region: backend.region,
    script: program('standins', 'standin.js'),
    settings: mergeSettings(base, backend.settings),
    portSettings: { port: 'standin.port' },
    ...filesOf(context, backend.id),
  };
}

/** The sidecar beside one backend server. */
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
    script: program('sidecar', 'sidecar.js'),
    settings: mergeSettings(base, context.topology.sidecarSettings),
    portSettings: { dataPort: 'data.port', adminPort: 'admin.port' },
    ...filesOf(context, name),
  };
}

/** One router of a zone. */
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
    script: program('router', 'router.js'),
    settings: mergeSettings(base, context.topology.routerSettings),
    portSettings: { callersPort: 'callers.port', linkPort: 'link.port', adminPort: 'admin.port' },
    ...filesOf(context, name),
  };
}
