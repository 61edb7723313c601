/** Registry of the backend servers and their availability, from the entries in the store; tolerates outages of the store. */
import type { BackendServerEntry } from './types.js';

/** Registered run of a backend server. */
export interface RegisteredServer {
  /** Unique to this run of the server. */
  key: string;
  entry: BackendServerEntry;
  /** Time at which a server whose entry is missing is removed; undefined while its entry is in the store. */
  removeAtMs: number | undefined;
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

  function unregister(server: RegisteredServer): string {
    byId.delete(server.entry.id);
    byKey.delete(server.key);
    availableByService.clear();
    return server.key;
  }

  function put(entry: BackendServerEntry): string[] {
    const key = serverKey(entry);
    const previous = byId.get(entry.id);
    const replaced = previous !== undefined && previous.key !== key ? [unregister(previous)] : [];
    const server = { key, entry, removeAtMs: undefined };
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
    const listedIds = new Set(entries.map(({ id }) => id));
    const missingIds = [...byId.keys()].filter((id) => !listedIds.has(id));
    return [...missingIds.flatMap((id) => remove(id, nowMs)), ...entries.flatMap(put)];
  }

  function listAvailable(service: string): readonly RegisteredServer[] {
    let servers = availableByService.get(service);
    if (servers === undefined) {
      servers = [...byId.values()].filter(
        ({ entry }) => entry.service === service && !entry.draining,
      );
      availableByService.set(service, servers);
    }
    return servers;
  }

  return {
    put,
    remove,
    replaceAll,
    listAvailable,
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
