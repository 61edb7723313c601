/**
 * Acceptance of patches: creating the log entry of the next version, which succeeds for one of any number of racing operators and can be
 * repeated after a lost answer.
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
import type { ObjectClient, PutOutcome, Unknown } from './types.js';

/** Accepted patches between two snapshots. */
const SNAPSHOT_INTERVAL = 16;
/** Author of patches while no operator exists. */
const ANONYMOUS_AUTHOR = 'anonymous';

export interface CommitterOptions {
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

type Accepted = Extract<PatchOutcome, { ok: true }>;

/** Lower-case hex SHA-256 digest of a key, as the configuration lists it. */
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

const createEntry = (
  before: FleetConfig,
  after: FleetConfig,
  request: CommitRequest,
  circumstances: { author: string; time: string },
): ConfigHistoryEntry => ({
  version: after.version,
  id: request.id,
  patch: request.patch,
  undo: createMergePatch(after, before),
  reason: request.reason,
  ...circumstances,
});

/** Writes the snapshot when it is due; returns a remark when it cannot be kept any more. */
const writeSnapshot = async (
  objects: ObjectClient,
  config: FleetConfig,
): Promise<ConfigProblem[]> => {
  // An older snapshot in its place would only make readers fetch more of the log, so the write needs no condition or retry.
  if (config.version % SNAPSHOT_INTERVAL !== 0) return [];
  const put = await objects.put(SNAPSHOT_KEY, await encodeSnapshot(config));
  if (put.ok || put.code !== 'rejected') return [];
  return [{ path: '', message: `the snapshot was not written: ${put.message}` }];
};

/** Creates the function that commits patches. */
export const createCommitter = (options: CommitterOptions) => {
  const { objects, reader, now, retryDelayMs, writeAttempts } = options;

  const writeEntry = async (entry: ConfigHistoryEntry): Promise<PutOutcome> => {
    const body = encodeEntry(entry);
    let lostAnswer: Unknown | undefined;
    for (let attempt = 1; ; attempt += 1) {
      const put = await objects.put(historyKey(entry.version), body, { ifAbsent: true });
      if (put.ok || put.code === 'conflict') return put;
      if (put.code === 'unknown') lostAnswer = put;
      if (attempt >= writeAttempts || put.code === 'rejected') return lostAnswer ?? put;
      await sleep(put.code === 'rate-limited' ? put.retryAfterMs : retryDelayMs);
    }
  };

  /** Another entry, or our own after a lost answer, already stands in the place of the new version. */
  const resolveConflict = async (
    entry: ConfigHistoryEntry,
    accepted: Accepted,
  ): Promise<CommitOutcome> => {
    const existing = await readEntry(objects, entry.version);
    if (existing.ok && existing.entry?.id === entry.id) {
      reader.remember(accepted.config);
      return accepted;
    }
    const loaded = await reader.load();
    // A conflict that cannot be read back leaves open whose entry it is.
    if (!existing.ok || !loaded.ok) {
      return { ok: false, code: 'unknown', message: 'the version exists and could not be read' };
    }
    return {
      ok: false,
      code: 'stale',
      currentVersion: loaded.config.version,
      current: loaded.config,
    };
  };

  return async (offered: CommitRequest): Promise<CommitOutcome> => {
    // What is applied here has to be what readers of the log will apply, without members that JSON leaves out.
    const { patch } = JSON.parse(JSON.stringify({ patch: offered.patch })) as { patch?: unknown };
    const request = { ...offered, patch };
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
    const entry = createEntry(config, applied.config, request, { author, time });
    const put = await writeEntry(entry);
    if (!put.ok && put.code === 'conflict') return resolveConflict(entry, applied);
    if (!put.ok) return put.code === 'rejected' ? invalidPatch(put.message) : put;
    reader.remember(applied.config);
    const remarks = await writeSnapshot(objects, applied.config);
    return { ...applied, warnings: [...applied.warnings, ...remarks] };
  };
};
