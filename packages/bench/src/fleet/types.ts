/** Types of the fleet launcher: topologies, process specifications and process handles. */
import type { Service } from '@kingcupsill/core';

/** Role of a process in the fleet. */
export const ProcessRole = {
  Router: 'router',
  Sidecar: 'sidecar',
  Standin: 'standin',
} as const;
export type ProcessRole = (typeof ProcessRole)[keyof typeof ProcessRole];

/** Kind of a backend server in the settings of its sidecar. */
export const BackendKind = {
  Engine: 'engine',
  Plain: 'plain',
} as const;
export type BackendKind = (typeof BackendKind)[keyof typeof BackendKind];

/** Settings of a process by section and key. */
export type Settings = Record<string, Record<string, string | number | boolean>>;

/** Availability zone and its number of routers. */
export interface ZoneTopology {
  zone: string;
  region: string;
  routers: number;
}

/** Backend server that is started with a sidecar. */
export interface BackendTopology {
  id: string;
  kind: BackendKind;
  pool: string;
  zone: string;
  region: string;
  slots: number;
  /** Settings of the stand-in in addition to its kind, host, port and seed. */
  settings?: Settings;
}

/** Client account and its API key. */
export interface AccountTopology {
  id: string;
  share: number;
  services: string[];
  apiKey: string;
  maxQueued?: number;
}

/** Zones, backend servers, accounts, services and settings of a fleet. */
export interface Topology {
  zones: ZoneTopology[];
  backends: BackendTopology[];
  accounts: AccountTopology[];
  services: Record<string, Service>;
  /** Settings merged into those of each router. */
  routerSettings?: Settings;
  /** Settings merged into those of each sidecar. */
  sidecarSettings?: Settings;
  /** Settings merged into those of the platform stand-in. */
  platformSettings?: Settings;
}

/** Script, settings and files of a process. */
export interface ProcessSpec {
  /** Process name, unique within the fleet. */
  name: string;
  role: ProcessRole;
  zone: string;
  region: string;
  script: string;
  settings: Settings;
  /** Path of the INI file, written on each start. */
  settingsFile: string;
  /** Path of the setting (`section.key`) for each port field of the `listening` log line. */
  portSettings: Record<string, string>;
  /** Path of the file for standard output and standard error. */
  logFile: string;
}

/** Exit code or terminating signal of a process. */
export interface ProcessExit {
  code: number | null;
  signal: string | null;
}

/** Handle of a fleet process, which keeps its ports across restarts. */
export interface FleetProcess {
  readonly name: string;
  readonly role: ProcessRole;
  readonly zone: string;
  readonly region: string;
  /** Process id; undefined while the process is not running. */
  readonly pid: number | undefined;
  /** Ports by field name of the `listening` log line. */
  readonly ports: Readonly<Record<string, number>>;
  /** Base URL of the main listener. */
  readonly url: string;
  /** Base URL of the admin listener; stand-ins serve it on the main listener. */
  readonly adminUrl: string;
  /** Sends SIGKILL and resolves when the process has exited. */
  kill: () => Promise<ProcessExit>;
  /** Suspends the process with SIGSTOP. */
  pause: () => void;
  /** Resumes a suspended process with SIGCONT. */
  resume: () => void;
  /** Sends SIGTERM for a graceful shutdown and resolves when the process has exited. */
  drain: () => Promise<ProcessExit>;
  /** Kills the process if it is running and starts it again on the same ports. */
  restart: () => Promise<void>;
}

/** Handle of a running fleet. */
export interface Fleet {
  readonly topology: Topology;
  /** Directory with the settings files and logs of the processes. */
  readonly directory: string;
  readonly platform: FleetProcess;
  readonly routers: readonly FleetProcess[];
  readonly sidecars: readonly FleetProcess[];
  readonly backends: readonly FleetProcess[];
  /** Returns a process by name; throws if the fleet has no such process. */
  get: (name: string) => FleetProcess;
  /** Kills every process of the fleet and removes its directory if it is temporary. */
  close: () => Promise<void>;
}
