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

/** What a process knows of the peer at the other end of a link. */
export interface ConfigPeer {
  /** Highest version that the peer has, or was sent. */
  version: number;
}

/** Calls to the object service. */
export interface StorePollState {
  inFlight: boolean;
  /** When the next call is due, unless one is in flight. */
  nextAtMs: number;
  /** Calls that failed since the last success. */
  failures: number;
  /** All calls of this process; also varies the jitter. */
  made: number;
  /** When a call last succeeded; undefined before. */
  succeededAtMs?: number;
  /** Set when patches did not apply: the next call loads the whole configuration. */
  reload: boolean;
}

/** A `config-request` that was not answered yet. */
export interface PendingConfigRequest {
  link: string;
  expiresAtMs: number;
}

/** State of the distribution in one process. */
export interface ConfigState {
  self: ConfigProcessIdentity;
  /** Configuration in force. */
  config: FleetConfig;
  inForceSinceMs: number;
  /** Latest patches without a gap, ending at the version in force. */
  recentPatches: AcceptedPatch[];
  /** Highest version heard of, and since when it has been above the one in force. */
  newestVersion: number;
  behindSinceMs?: number;
  peers: Map<string, ConfigPeer>;
  isWatcher: boolean;
  routersInFleet: number;
  store: StorePollState;
  pendingRequest?: PendingConfigRequest;
  /** When the version is next told to a peer, and how many times it was. */
  nextExchangeAtMs: number;
  exchanges: number;
}

/** The process that hosts the reducer. */
export interface ConfigProcessIdentity {
  id: string;
  role: Role;
  /** Seed of the jitter. */
  seed: number;
}

export type ConfigEvent =
  /** The live routers of the process's zone and the number in the fleet, itself included. */
  | { kind: 'routers-changed'; nowMs: number; routersOfZone: string[]; routersInFleet: number }
  /** `version` is what the peer's `hello` named. */
  | { kind: 'link-opened'; nowMs: number; link: string; version: number }
  | { kind: 'link-closed'; nowMs: number; link: string }
  | { kind: 'message'; nowMs: number; link: string; message: ConfigMessage }
  /** Answers to `poll-store`; each effect has exactly one. */
  | { kind: 'config-loaded'; nowMs: number; config: FleetConfig }
  | { kind: 'patches-loaded'; nowMs: number; patches: AcceptedPatch[] }
  | { kind: 'store-failed'; nowMs: number }
  | { kind: 'tick'; nowMs: number };

/** How a process asks the object service. */
export const StorePollMode = {
  /** Reads the whole configuration. */
  Load: 'load',
  /** Reads what was accepted after `version`. */
  Read: 'read',
  /** Waits up to `timeoutMs` for something after `version`. */
  Watch: 'watch',
} as const;
export type StorePollMode = (typeof StorePollMode)[keyof typeof StorePollMode];

export type ConfigEffect =
  | { kind: 'send'; link: string; message: ConfigMessage }
  /** This configuration replaces the one before; its version is higher. */
  | { kind: 'config-in-force'; config: FleetConfig }
  | { kind: 'poll-store'; mode: StorePollMode; version: number; timeoutMs: number };

/** What a process tells operators about its configuration. */
export interface ConfigStatus {
  version: number;
  inForceForMs: number;
  /** Highest version that the process has heard of. */
  newestVersion: number;
  /** How long the process has known of a version that is not in force here; 0 when there is none. */
  behindForMs: number;
  isWatcher: boolean;
  /** Time since the object service last answered; undefined when it never did. */
  storeAnsweredAgoMs?: number;
}
