/** Types of the configuration store. */
import type {
  AcceptedPatch,
  ConfigProblem,
  FleetConfig,
  ConfigHistoryEntry,
  PatchOutcome,
  PatchRequest,
} from '@kingcupsill/core';

import type { ConfigReadFailure } from './config-log.js';
import type {
  ObjectClient,
  RateLimitedFailure,
  UnavailableFailure,
  UnknownWriteOutcome,
} from './types.js';

export type ConfigLoadOutcome = { ok: true; config: FleetConfig } | ConfigReadFailure;

/** Changes since a version: the patches in order, or the whole configuration if there are too many patches. */
export type ConfigChangesOutcome =
  | { ok: true; kind: 'patches'; patches: AcceptedPatch[] }
  | { ok: true; kind: 'config'; config: FleetConfig }
  | ConfigReadFailure;

export type ConfigHistoryOutcome = { ok: true; entries: ConfigHistoryEntry[] } | ConfigReadFailure;

/** Patch submitted by an operator. */
export interface CommitRequest extends Omit<PatchRequest, 'author'> {
  /** Secret key of the operator; optional while the configuration has no operators. */
  operatorKey?: string;
}

export type CommitOutcome =
  | { ok: true; config: FleetConfig; warnings: ConfigProblem[] }
  /** The patch is based on another version than the newest one, which is `current`. */
  | { ok: false; code: 'stale'; currentVersion: number; current: FleetConfig }
  | Exclude<PatchOutcome, { ok: true } | { code: 'stale' }>
  /** The write may or may not have taken effect; committing the same patch id again is safe. */
  | UnknownWriteOutcome
  | RateLimitedFailure
  | UnavailableFailure
  | ConfigReadFailure;

export interface ConfigWatchRequest {
  /** Newest version known to the caller. */
  version: number;
  /** Maximum time to wait for a change. */
  timeoutMs: number;
  signal?: AbortSignal;
}

export interface ConfigStoreOptions {
  objects: ObjectClient;
  /** Wall clock for the times in the history. @default () => new Date() */
  now?: () => Date;
  /** Delay before a failed write or one with an unknown outcome is retried. @default 200 */
  retryDelayMs?: number;
  /** Maximum number of writes per patch. @default 5 */
  writeAttempts?: number;
}

export interface ConfigStore {
  /** Loads the newest configuration, which is the empty one with version 0 before the first commit. */
  load(): Promise<ConfigLoadOutcome>;
  /** Applies a patch, validates the result and stores it as the next version. */
  commit(request: CommitRequest): Promise<CommitOutcome>;
  /** Reads the changes after `version`; takes a single small call if there are none. */
  readSince(version: number): Promise<ConfigChangesOutcome>;
  /** Waits up to `timeoutMs` for changes after `version`. */
  watch(request: ConfigWatchRequest): Promise<ConfigChangesOutcome>;
  /** Reads the accepted patches of versions `from` to `to` (inclusive). */
  history(range: { from: number; to: number }): Promise<ConfigHistoryOutcome>;
  /** Reconstructs the configuration of an earlier version, including its version number. */
  loadVersion(version: number): Promise<ConfigLoadOutcome | { ok: false; code: 'not-found' }>;
}
