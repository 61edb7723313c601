/**
 * Registry of the backend servers and their availability, from the entries in the store and from the servers' own statements.
 * Precedence, highest first:
 * 1. A run that has stated that it leaves gets no new requests, whatever the store lists later.
 * 2. Entries removed before a restore of the store stay removed until their server writes them again.
 * 3. Entries missing after an outage or a restore stay in use for the time in which live servers renew them.
 * 4. The latest entry in the store.
 */
import { createRunHistory } from './run-history.js';
import { createServerIndex } from './server-index.js';
import type { RegisteredServer } from './server-index.js';
import type { BackendServerEntry } from '../types.js';

/** Options of the registry. */
export interface ServerRegistryOptions {
  /**
   * Time without an answer from the store after which entries of live servers may have expired. Servers renew their entries every
   * heartbeat interval, and entries expire after three.
   */
  outageThresholdMs: number;
  /** Time for live servers to renew expired entries after an outage of the store. */
  renewalGraceMs: number;
}

/** Registered servers. Methods that change the registry return the keys of the removed servers. */
export interface ServerRegistry {
  put(entry: BackendServerEntry): string[];
  remove(id: string, nowMs: number): string[];
  /** Applies a full listing and removes the servers that are missing from it. */
  replaceAll(entries: readonly BackendServerEntry[], nowMs: number): string[];
  /** Records an answer of the store, which detects the end of an outage. */
  recordStoreAnswer(nowMs: number): void;
  /** Records that the store was restored from an older copy; the next listing may be older than the known entries. */
  recordRestore(nowMs: number): void;
  /** Records that the server itself or a peer has stated that this run leaves. Returns whether that is new. */
  markLeaving(key: string): boolean;
  /** Removes the servers whose grace period has ended. */
  expire(nowMs: number): string[];
  /** Returns the servers of a service that accept new requests. */
  listAvailable(service: string): readonly RegisteredServer[];
  get(key: string): RegisteredServer | undefined;
  all(): RegisteredServer[];
}

/** Returns the key of one run of a server. */
export function serverKey(entry: BackendServerEntry): string {
  return `${entry.id}@${entry.startedAtMs}`;
}

/** Creates an empty registry. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { outageThresholdMs, renewalGraceMs } = options;
  const index = createServerIndex();
  const history = createRunHistory();
  let lastAnswerMs: number | undefined;
  let graceEndMs = Number.NEGATIVE_INFINITY;
  let expectsOlderListing = false;

  function unregister(server: RegisteredServer): string {
    index.remove(server);
    history.recordRemoval(server.key);
    return server.key;
  }

  function markLeaving(key: string): boolean {
    const server = index.findByKey(key);
    const isNew = history.recordLeaving(key);
    if (server === undefined || !isNew) return false;
    index.setLeaving(server);
    return true;
  }

  function put(entry: BackendServerEntry): string[] {
    const key = serverKey(entry);
    const previous = index.findById(entry.id);
    const replaced = previous !== undefined && previous.key !== key ? [unregister(previous)] : [];
    history.recordEntry(key);
    if (entry.draining) history.recordLeaving(key);
    index.add({ key, entry, removeAtMs: undefined, leaving: history.isLeaving(key) });
    return replaced;
  }

  function remove(id: string, nowMs: number): string[] {
    const server = index.findById(id);
    if (server === undefined) return [];
    if (nowMs >= graceEndMs) return [unregister(server)];
    server.removeAtMs ??= graceEndMs;
    return [];
  }

  /** Returns whether the entry of a restored store is older than what is known about its server. */
  function isOutdated(entry: BackendServerEntry): boolean {
    const known = index.findById(entry.id);
    const hasNewerRun = known !== undefined && known.entry.startedAtMs > entry.startedAtMs;
    return hasNewerRun || history.isRemoved(serverKey(entry));
  }

  function replaceAll(entries: readonly BackendServerEntry[], nowMs: number): string[] {
    const current = expectsOlderListing ? entries.filter((entry) => !isOutdated(entry)) : entries;
    expectsOlderListing = false;
    const listedIds = new Set(current.map(({ id }) => id));
    const missingIds = index
      .all()
      .flatMap(({ entry }) => (listedIds.has(entry.id) ? [] : entry.id));
    return [...missingIds.flatMap((id) => remove(id, nowMs)), ...current.flatMap(put)];
  }

  return {
    put,
    remove,
    replaceAll,
    markLeaving,
    recordRestore(nowMs) {
      expectsOlderListing = true;
      graceEndMs = nowMs + renewalGraceMs;
    },
    recordStoreAnswer(nowMs) {
      if (lastAnswerMs !== undefined && nowMs - lastAnswerMs >= outageThresholdMs) {
        graceEndMs = nowMs + renewalGraceMs;
      }
      lastAnswerMs = nowMs;
    },
    expire(nowMs) {
      return index
        .all()
        .filter(({ removeAtMs }) => removeAtMs !== undefined && nowMs >= removeAtMs)
        .map(unregister);
    },
    listAvailable: index.listAvailable,
    get: index.findByKey,
    all: index.all,
  };
}
