/**
 * Commits patches by creating the history entry of the next version. The conditional write succeeds for only one of several
 * concurrent operators, and can be repeated after a lost response.
 */
import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { applyPatch, createMergePatch, findOperatorByKeyHash } from '@kingcupsill/core';
import type {
  ConfigProblem,
  FleetConfig,
  ConfigHistoryEntry,
  PatchOutcome,
} from '@kingcupsill/core';

import { SNAPSHOT_KEY, encodeEntry, encodeSnapshot, historyKey, readEntry } from './config-log.js';
import type { ConfigReader } from './config-reader.js';
import type { CommitOutcome, CommitRequest } from './config-types.js';
import type { ObjectClient, PutOutcome, UnknownWriteOutcome } from './types.js';

/** Number of versions between two snapshots. */
const SNAPSHOT_INTERVAL = 16;
/** Author recorded for patches while the configuration has no operators. */
const ANONYMOUS_AUTHOR = 'anonymous';

export interface ConfigCommitterOptions {
  objects: ObjectClient;
  reader: ConfigReader;
  now: () => Date;
  retryDelayMs: number;
  writeAttempts: number;
}

const invalidPatch = (message: string): CommitOutcome => ({
  ok: false,
  code: 'invalid',
  problems: [{ path: '', message }],
});

type AcceptedPatchOutcome = Extract<PatchOutcome, { ok: true }>;

/** Returns the SHA-256 digest of a key in lower-case hex, the form stored in the configuration. */
export const digestKey = (key: string): string => createHash('sha256').update(key).digest('hex');

const resolveAuthor = (
  config: FleetConfig,
  operatorKey: string | undefined,
): string | undefined => {
  if (Object.keys(config.operators).length === 0) return ANONYMOUS_AUTHOR;
  return operatorKey === undefined
    ? undefined
    : findOperatorByKeyHash(config, digestKey(operatorKey));
};

const createHistoryEntry = (
  before: FleetConfig,
  after: FleetConfig,
  request: CommitRequest,
  metadata: { author: string; time: string },
): ConfigHistoryEntry => ({
  version: after.version,
  id: request.id,
  patch: request.patch,
  undo: createMergePatch(after, before),
  reason: request.reason,
  ...metadata,
});

/** Writes the snapshot every `SNAPSHOT_INTERVAL` versions; returns a warning if the object service rejects it. */
const writeSnapshot = async (
  objects: ObjectClient,
  config: FleetConfig,
): Promise<ConfigProblem[]> => {
  // An outdated snapshot only makes readers fetch more history entries, so the write needs neither a condition nor a retry.
  if (config.version % SNAPSHOT_INTERVAL !== 0) return [];
  const put = await objects.put(SNAPSHOT_KEY, await encodeSnapshot(config));
  if (put.ok || put.code !== 'rejected') return [];
  return [{ path: '', message: `the snapshot was not written: ${put.message}` }];
};

/** Creates the `commit` function of the configuration store. */
export const createConfigCommitter = (options: ConfigCommitterOptions) => {
  const { objects, reader, now, retryDelayMs, writeAttempts } = options;

  const writeEntry = async (entry: ConfigHistoryEntry): Promise<PutOutcome> => {
    const body = encodeEntry(entry);
    let unknownOutcome: UnknownWriteOutcome | undefined;
    for (let attempt = 1; ; attempt += 1) {
      const put = await objects.put(historyKey(entry.version), body, { ifAbsent: true });
      if (put.ok || put.code === 'conflict') return put;
      if (put.code === 'unknown') unknownOutcome = put;
      if (attempt >= writeAttempts || put.code === 'rejected') return unknownOutcome ?? put;
      await sleep(put.code === 'rate-limited' ? put.retryAfterMs : retryDelayMs);
    }
  };

  /** Handles an existing entry of the new version: another operator's, or this patch's own after a lost response. */
  const resolveConflict = async (
    entry: ConfigHistoryEntry,
    accepted: AcceptedPatchOutcome,
  ): Promise<CommitOutcome> => {
    const existing = await readEntry(objects, entry.version);
    if (existing.ok && existing.entry?.id === entry.id) {
      reader.cacheIfNewer(accepted.config);
      return accepted;
    }
    const loaded = await reader.load();
    // Without reading the entry back, it is unknown which patch it holds.
    if (!existing.ok || !loaded.ok) {
      return {
        ok: false,
        code: 'unknown',
        message: 'the version exists but could not be read back',
      };
    }
    return {
      ok: false,
      code: 'stale',
      currentVersion: loaded.config.version,
      current: loaded.config,
    };
  };

  return async (commitRequest: CommitRequest): Promise<CommitOutcome> => {
    // Removes members that JSON omits, so that the patch applied here equals the patch that readers of the history apply.
    const { patch } = JSON.parse(JSON.stringify({ patch: commitRequest.patch })) as {
      patch?: unknown;
    };
    const request = { ...commitRequest, patch };
    const loaded = await reader.load();
    if (!loaded.ok) return loaded;
    const { config } = loaded;
    const author = resolveAuthor(config, request.operatorKey);
    if (author === undefined) {
      return { ok: false, code: 'forbidden', message: 'the operator key is missing or unknown' };
    }
    const applied = applyPatch(config, { ...request, author });
    if (!applied.ok) return applied.code === 'stale' ? { ...applied, current: config } : applied;
    const time = now().toISOString();
    const entry = createHistoryEntry(config, applied.config, request, { author, time });
    const put = await writeEntry(entry);
    if (!put.ok && put.code === 'conflict') return resolveConflict(entry, applied);
    if (!put.ok) return put.code === 'rejected' ? invalidPatch(put.message) : put;
    reader.cacheIfNewer(applied.config);
    const snapshotWarnings = await writeSnapshot(objects, applied.config);
    return { ...applied, warnings: [...applied.warnings, ...snapshotWarnings] };
  };
};
