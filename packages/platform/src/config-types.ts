/** Types of the configuration store. */
import type {
  AcceptedPatch,
  ConfigProblem,
  FleetConfig,
  ConfigHistoryEntry,
  PatchOutcome,
  PatchRequest,
} from '@kingcupsill/core';

import type { LogFailure } from './config-log.js';
import type { ObjectClient, RateLimited, Unavailable, Unknown } from './types.js';

export type LoadOutcome = { ok: true; config: FleetConfig } | LogFailure;

/** What is new since a version: its patches in order, or the whole configuration when there are too many. */
export type ChangesOutcome =
  | { ok: true; kind: 'patches'; patches: AcceptedPatch[] }
  | { ok: true; kind: 'config'; config: FleetConfig }
  | LogFailure;

export type HistoryOutcome = { ok: true; entries: ConfigHistoryEntry[] } | LogFailure;

/** A patch that an operator offers, with the operator's key. */
export interface CommitRequest extends Omit<PatchRequest, 'author'> {
  /** Key of the operator; not needed while the configuration has no operators. */
  operatorKey?: string;
}

export type CommitOutcome =
  | { ok: true; config: FleetConfig; warnings: ConfigProblem[] }
  /** Made against another version; `current` is the configuration now. */
  | { ok: false; code: 'stale'; currentVersion: number; current: FleetConfig }
  | Exclude<PatchOutcome, { ok: true } | { code: 'stale' }>
  /** The write may or may not have taken effect; offering the same patch id again is safe. */
  | Unknown
  | RateLimited
  | Unavailable
  | LogFailure;

export interface WatchConfigRequest {
  /** Version that the caller has. */
  version: number;
  /** How long to wait without a change. */
  timeoutMs: number;
  signal?: AbortSignal;
}

export interface ConfigStoreOptions {
  objects: ObjectClient;
  /** Wall clock for the history. @default () => new Date() */
  now?: () => Date;
  /** Wait before a write whose answer was lost is repeated. @default 200 */
  retryDelayMs?: number;
  /** Writes of one patch at most. @default 5 */
  writeAttempts?: number;
}

export interface ConfigStore {
  /** Loads the newest configuration; version 0 when there is none yet. */
  load(): Promise<LoadOutcome>;
  /** Validates the result of a patch and accepts it as the next version. */
  commit(request: CommitRequest): Promise<CommitOutcome>;
  /** Reads what was accepted after `version`; one small call when nothing was. */
  readSince(version: number): Promise<ChangesOutcome>;
  /** Waits up to `timeoutMs` for something newer than `version`. */
  watch(request: WatchConfigRequest): Promise<ChangesOutcome>;
  /** Reads accepted patches of versions `from` to `to`, both included. */
  history(range: { from: number; to: number }): Promise<HistoryOutcome>;
  /** Reconstructs the configuration of an earlier version; it bears its own version number. */
  loadVersion(version: number): Promise<LoadOutcome | { ok: false; code: 'not-found' }>;
}
