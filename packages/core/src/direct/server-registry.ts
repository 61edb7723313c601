/**
 * Registry of the backend servers and their availability, from the entries in the store and from the servers' own statements.
 * Precedence, highest first:
 * 1. A run that has stated that it leaves gets no new requests, whatever the store lists later.
 * 2. Entries removed before a restore of the store stay removed until their server writes them again.
 * 3. Entries missing after an outage or a restore stay in use for the time in which live servers renew them.
 * 4. The latest entry in the store.
 */
import { createRunHistory } from './run-history.js';
import type { BackendServerEntry } from './types.js';

/** Registered run of a backend server. */
export interface RegisteredServer {
  /** Unique to this run of the server. */
  key: string;
  entry: BackendServerEntry;
  /** Time at which a server whose entry is missing is removed; undefined while its entry is in the store. */
  removeAtMs: number | undefined;
  /** True once the server has stated that it leaves; final for this run. */
  leaving: boolean;
}

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
  const byId = new Map<string, RegisteredServer>();
  const byKey = new Map<string, RegisteredServer>();
  const availableByService = new Map<string, RegisteredServer[]>();
  let lastAnswerMs: number | undefined;
  let graceEndMs = Number.NEGATIVE_INFINITY;
  const history = createRunHistory();
  let expectsOlderListing = false;

  function unregister(server: RegisteredServer): string {
    byId.delete(server.entry.id);
    byKey.delete(server.key);
    availableByService.clear();
    history.recordRemoval(server.key);
    return server.key;
  }

  function markLeaving(key: string): boolean {
    const server = byKey.get(key);
    const isNew = history.recordLeaving(key);
    if (server === undefined || !isNew) return false;
    server.leaving = true;
    availableByService.clear();
    return true;
  }

  function put(entry: BackendServerEntry): string[] {
    const key = serverKey(entry);
    const previous = byId.get(entry.id);
    const replaced = previous !== undefined && previous.key !== key ? [unregister(previous)] : [];
    history.recordEntry(key);
    if (entry.draining) history.recordLeaving(key);
    const server = { key, entry, removeAtMs: undefined, leaving: history.isLeaving(key) };
    byId.set(entry.id, server);
    byKey.set(key, server);
    availableByService.clear();
    return replaced;
  }

  function remove(id: string, nowMs: number): string[] {
    const server = byId.get(id);
    if (server === undefined) return [];
    if (nowMs >= graceEndMs) return [unregister(server)];
    server.removeAtMs ??= graceEndMs;
    return [];
  }

  function replaceAll(entries: readonly BackendServerEntry[], nowMs: number): string[] {
    const current = expectsOlderListing ? entries.filter((entry) => !isOutdated(entry)) : entries;
    expectsOlderListing = false;
    const listedIds = new Set(current.map(({ id }) => id));
    const missingIds = [...byId.keys()].filter((id) => !listedIds.has(id));
    return [...missingIds.flatMap((id) => remove(id, nowMs)), ...current.flatMap(put)];
  }

  /** Returns whether the entry of a restored store is older than what is known about its server. */
  function isOutdated(entry: BackendServerEntry): boolean {
    const known = byId.get(entry.id);
    return (
      history.isRemoved(serverKey(entry)) ||
      (known !== undefined && known.entry.startedAtMs > entry.startedAtMs)
    );
  }

  function listAvailable(service: string): readonly RegisteredServer[] {
    const known = availableByService.get(service);
    if (known !== undefined) return known;
    const servers = [...byId.values()].filter(
      ({ entry, leaving }) => entry.service === service && !leaving,
    );
    availableByService.set(service, servers);
    return servers;
  }

  return {
    put,
    remove,
    replaceAll,
    listAvailable,
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
      return [...byId.values()]
        .filter(({ removeAtMs }) => removeAtMs !== undefined && nowMs >= removeAtMs)
        .map(unregister);
    },
    get: (key) => byKey.get(key),
    all: () => [...byId.values()],
  };
}
