/**
 * Keys and encodings of the configuration in the object service. Accepted patches are a log, one object each; the creation of
 * `config/history/{version}` is what accepts a patch. A snapshot of the whole document spares readers the log's beginning.
 */
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';

import { configHistoryEntrySchema, validateConfig } from '@kingcupsill/core';
import type { FleetConfig, ConfigHistoryEntry } from '@kingcupsill/core';

import { parseJson } from './http.js';
import type { ObjectClient, ReadFailure } from './types.js';

const gzipAsync = promisify(gzip);
const gunzipAsync = promisify(gunzip);

export const SNAPSHOT_KEY = 'config/current';
export const HISTORY_PREFIX = 'config/history/';

/** Log entries read at once at most. */
const MAX_READ_BATCH = 8;
const GZIP_MAGIC = [0x1f, 0x8b] as const;
/** Largest document after decompression. */
const MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;

/** An object of the configuration holds something that is not one. */
export interface Corrupt {
  ok: false;
  code: 'corrupt';
  message: string;
}

export type LogFailure = ReadFailure | Corrupt;
export type EntryOutcome = { ok: true; entry: ConfigHistoryEntry | undefined } | LogFailure;
export type EntriesOutcome = { ok: true; entries: ConfigHistoryEntry[] } | LogFailure;
export type SnapshotOutcome = { ok: true; config: FleetConfig | undefined } | LogFailure;

const encoder = new TextEncoder();

const corrupt = (key: string, reason: string): Corrupt => ({
  ok: false,
  code: 'corrupt',
  message: `object "${key}" is not usable: ${reason}`,
});

export const historyKey = (version: number): string => `${HISTORY_PREFIX}${version}`;

/** Version that a key of the log stands for; undefined for another key. */
export const versionOfKey = (key: string): number | undefined => {
  const suffix = key.startsWith(HISTORY_PREFIX) ? key.slice(HISTORY_PREFIX.length) : '';
  return /^[1-9]\d*$/.test(suffix) ? Number(suffix) : undefined;
};

export const encodeEntry = (entry: ConfigHistoryEntry): Uint8Array =>
  encoder.encode(JSON.stringify(entry));

/** Compresses the document: at 4,000 accounts and 6,400 backend servers it is above the service's limit otherwise. */
export const encodeSnapshot = (config: FleetConfig): Promise<Uint8Array> =>
  gzipAsync(encoder.encode(JSON.stringify(config)));

const decompress = async (body: Uint8Array): Promise<Uint8Array | undefined> => {
  if (body[0] !== GZIP_MAGIC[0] || body[1] !== GZIP_MAGIC[1]) return body;
  try {
    return await gunzipAsync(body, { maxOutputLength: MAX_DOCUMENT_BYTES });
  } catch {
    return undefined;
  }
};

/** Reads the snapshot; its configuration is undefined when there is none yet. */
export const readSnapshot = async (objects: ObjectClient): Promise<SnapshotOutcome> => {
  const got = await objects.get(SNAPSHOT_KEY);
  if (!got.ok) return got.code === 'not-found' ? { ok: true, config: undefined } : got;
  const body = await decompress(got.body);
  const checked = validateConfig(body === undefined ? undefined : parseJson(body));
  if (checked.ok) return { ok: true, config: checked.config };
  const [first] = checked.problems;
  return corrupt(SNAPSHOT_KEY, `${first?.path ?? ''}: ${first?.message ?? ''}`);
};

/** Reads one log entry, undefined when that version was not accepted yet. */
export const readEntry = async (objects: ObjectClient, version: number): Promise<EntryOutcome> => {
  const key = historyKey(version);
  const got = await objects.get(key);
  if (!got.ok) return got.code === 'not-found' ? { ok: true, entry: undefined } : got;
  const parsed = configHistoryEntrySchema.safeParse(parseJson(got.body));
  if (!parsed.success || parsed.data.version !== version) return corrupt(key, 'not a log entry');
  return { ok: true, entry: parsed.data };
};

/** Reads the log entries of versions `from` to `to`, both included, up to the first that does not exist. */
const readRange = async (
  objects: ObjectClient,
  from: number,
  to: number,
): Promise<EntriesOutcome> => {
  const versions = Array.from({ length: to - from + 1 }, (_, index) => from + index);
  const outcomes = await Promise.all(versions.map((version) => readEntry(objects, version)));
  const entries: ConfigHistoryEntry[] = [];
  for (const outcome of outcomes) {
    if (!outcome.ok) return outcome;
    if (outcome.entry === undefined) break;
    entries.push(outcome.entry);
  }
  return { ok: true, entries };
};

/**
 * Reads the log after `version`, at most `limit` entries. The next entry is asked for alone first, as mostly there is none; then more and more
 * at once.
 */
export const readEntries = async (
  objects: ObjectClient,
  version: number,
  limit: number,
): Promise<EntriesOutcome> => {
  const entries: ConfigHistoryEntry[] = [];
  let batch = 1;
  while (entries.length < limit) {
    const from = version + entries.length + 1;
    const to = Math.min(from + batch - 1, version + limit);
    const read = await readRange(objects, from, to);
    if (!read.ok) return read;
    entries.push(...read.entries);
    if (read.entries.length < to - from + 1) break;
    batch = Math.min(2 * batch, MAX_READ_BATCH);
  }
  return { ok: true, entries };
};
