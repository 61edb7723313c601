/** Types of the reducer that distributes the configuration between processes. */
import type {
  ConfigFullMessage,
  ConfigPatchMessage,
  ConfigRequestMessage,
  ConfigVersionMessage,
  Role,
} from '../protocol/index.js';
import type { AcceptedPatch, FleetConfig } from './types.js';

/** Messages about the configuration. */
export type ConfigMessage =
  ConfigVersionMessage | ConfigPatchMessage | ConfigFullMessage | ConfigRequestMessage;

/** State kept for the peer at the other end of a link. */
export interface ConfigPeer {
  /** Highest version that the peer is known to have or was sent. */
  version: number;
}

/** State of the calls to the object service. */
export interface StorePollState {
  inFlight: boolean;
  /** Due time of the next call; ignored while a call is in flight. */
  nextAtMs: number;
  /** Number of consecutive failed calls. */
  failures: number;
  /** Number of calls made by this process; also an input of the jitter. */
  made: number;
  /** Time of the last successful call; undefined if none has succeeded. */
  succeededAtMs?: number;
  /** True after a patch failed to apply; the next call then loads the whole configuration. */
  reload: boolean;
}

/** A `config-request` without an answer so far. */
export interface PendingConfigRequest {
  link: string;
  expiresAtMs: number;
}

/** State of the configuration distribution in one process. */
export interface ConfigState {
  self: ConfigProcessIdentity;
  /** Configuration in force. */
  config: FleetConfig;
  inForceSinceMs: number;
  /** Most recent consecutive patches, ending at the version in force. */
  recentPatches: AcceptedPatch[];
  /** Highest version known to exist. */
  newestVersion: number;
  /** Time since which `newestVersion` has been higher than the version in force; undefined when up to date. */
  behindSinceMs?: number;
  peers: Map<string, ConfigPeer>;
  isWatcher: boolean;
  routersInFleet: number;
  store: StorePollState;
  pendingRequest?: PendingConfigRequest;
  /** Time of the next version exchange with a peer. */
  nextExchangeAtMs: number;
  /** Number of version exchanges so far; selects the next peer in turn. */
  exchanges: number;
}

/** Identity of the process that runs the reducer. */
export interface ConfigProcessIdentity {
  id: string;
  role: Role;
  /** Hash seed of the poll jitter. */
  seed: number;
}

export type ConfigEvent =
  /** Live routers in the zone of this process and number of routers in the fleet, both including this process. */
  | { kind: 'routers-changed'; nowMs: number; routersOfZone: string[]; routersInFleet: number }
  /** `version` is the configuration version in the peer's `hello`. */
  | { kind: 'link-opened'; nowMs: number; link: string; version: number }
  | { kind: 'link-closed'; nowMs: number; link: string }
  | { kind: 'message'; nowMs: number; link: string; message: ConfigMessage }
  /** `config-loaded`, `patches-loaded` and `store-failed` are the results of `poll-store`; each effect has exactly one. */
  | { kind: 'config-loaded'; nowMs: number; config: FleetConfig }
  | { kind: 'patches-loaded'; nowMs: number; patches: AcceptedPatch[] }
  | { kind: 'store-failed'; nowMs: number }
  | { kind: 'tick'; nowMs: number };

/** Kind of a call to the object service. */
export const StorePollMode = {
  /** Reads the whole configuration. */
  Load: 'load',
  /** Reads the patches accepted after `version`. */
  Read: 'read',
  /** Waits up to `timeoutMs` for a patch accepted after `version`. */
  Watch: 'watch',
} as const;
export type StorePollMode = (typeof StorePollMode)[keyof typeof StorePollMode];

export type ConfigEffect =
  | { kind: 'send'; link: string; message: ConfigMessage }
  /** `config` replaces the previous configuration and has a higher version. */
  | { kind: 'config-in-force'; config: FleetConfig }
  | { kind: 'poll-store'; mode: StorePollMode; version: number; timeoutMs: number };

/** Configuration status that a process reports to operators. */
export interface ConfigStatus {
  version: number;
  inForceForMs: number;
  /** Highest version known to the process. */
  newestVersion: number;
  /** Time since the process learned of a newer version than the one in force; 0 when up to date. */
  behindForMs: number;
  isWatcher: boolean;
  /** Time since the last successful call to the object service; undefined if none has succeeded. */
  storeAnsweredAgoMs?: number;
}
