/** Types of the fleet launcher: what to start, and handles on what runs. */
import type { Service } from '@kingcupsill/core';

/** Program that a process of the fleet runs. */
export const ProcessRole = {
  Router: 'router',
  Sidecar: 'sidecar',
  Standin: 'standin',
} as const;
export type ProcessRole = (typeof ProcessRole)[keyof typeof ProcessRole];

/** Kind of a backend server, as sidecars and stand-ins name it. */
export const BackendKind = {
  Engine: 'engine',
  Plain: 'plain',
} as const;
export type BackendKind = (typeof BackendKind)[keyof typeof BackendKind];

/** Settings of one process: section, then key. */
export type Settings = Record<string, Record<string, string | number | boolean>>;

/** An availability zone and the routers in it. */
export interface ZoneTopology {
  zone: string;
  region: string;
  routers: number;
}

/** A backend server with the sidecar beside it. */
export interface BackendTopology {
  id: string;
  kind: BackendKind;
  pool: string;
  zone: string;
  region: string;
  slots: number;
  /** Settings of the stand-in beyond its kind, host and port. */
  settings?: Settings;
}

/** A client account. */
export interface AccountTopology {
  id: string;
  share: number;
  services: string[];
  apiKey: string;
  maxQueued?: number;
}

/** All that a fleet is started from. */
export interface Topology {
  zones: ZoneTopology[];
  backends: BackendTopology[];
  accounts: AccountTopology[];
  services: Record<string, Service>;
  /** Settings added to each router's. */
  routerSettings?: Settings;
  /** Settings added to each sidecar's. */
  sidecarSettings?: Settings;
  /** Settings added to the platform stand-in's. */
  platformSettings?: Settings;
}

/** What to start a process with. */
export interface ProcessSpec {
  /** Unique in the fleet. */
  name: string;
  role: ProcessRole;
  zone: string;
  region: string;
  script: string;
  settings: Settings;
  /** INI file that is written at each start. */
  settingsFile: string;
  /** Setting that fixes each port of the `listening` line, as `section.key`. */
  portSettings: Record<string, string>;
  /** File that receives the process's output. */
  logFile: string;
}

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: string | null;
}

/** A process of the fleet. It keeps its ports over restarts. */
export interface FleetProcess {
  readonly name: string;
  readonly role: ProcessRole;
  readonly zone: string;
  readonly region: string;
  /** Undefined while the process does not run. */
  readonly pid: number | undefined;
  /** Ports by their names in the `listening` line. */
  readonly ports: Readonly<Record<string, number>>;
  /** Base URL of the main listener. */
  readonly url: string;
  /** Base URL of the admin listener; a stand-in's is its main listener. */
  readonly adminUrl: string;
  /** Ends the process at once. */
  kill: () => Promise<ProcessExit>;
  /** Pauses the process. */
  pause: () => void;
  /** Resumes a paused process. */
  resume: () => void;
  /** Asks the process to finish its work and exit, and waits for it. */
  drain: () => Promise<ProcessExit>;
  /** Starts the process again on its former ports; ends it first if it runs. */
  restart: () => Promise<void>;
}

/** A running fleet. */
export interface Fleet {
  readonly topology: Topology;
  /** Directory of the processes' settings and output. */
  readonly directory: string;
  readonly platform: FleetProcess;
  readonly routers: readonly FleetProcess[];
  readonly sidecars: readonly FleetProcess[];
  readonly backends: readonly FleetProcess[];
  /** Looks a process up by name; throws when the fleet has none of that name. */
  get: (name: string) => FleetProcess;
  /** Ends every process of the fleet and removes its directory. */
  close: () => Promise<void>;
}
