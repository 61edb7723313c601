/** Which backend servers exist and take new work, from the store's entries, through outages of the store. */
import type { BackendServerEntry } from './types.js';

/** One known run of a backend server. */
export interface RegisteredServer {
  /** Unique to this run of the server. */
  key: string;
  entry: BackendServerEntry;
  /** When an entry that went missing counts as gone; undefined while it stands in the store. */
  removeAtMs: number | undefined;
}

/** Options of the registry. */
export interface ServerRegistryOptions {
  /**
   * Silence of the store after which entries may have lapsed though their servers live. Servers renew entries every heartbeat,
   * and entries lapse after three.
   */
  outageThresholdMs: number;
  /** After the store's return, the time in which live servers renew lapsed entries. */
  renewalGraceMs: number;
}

/** Known servers. Calls that change it return the keys of servers that are gone. */
export interface ServerRegistry {
  put(entry: BackendServerEntry): string[];
  remove(id: string, nowMs: number): string[];
  /** Takes a whole listing; what it lacks is removed. */
  replaceAll(entries: readonly BackendServerEntry[], nowMs: number): string[];
  /** The store answered. */
  recordStoreAnswer(nowMs: number): void;
  /** Drops servers whose entries have been missing for too long. */
  expire(nowMs: number): string[];
  /** Servers of a service that take new work. */
  listAvailable(service: string): readonly RegisteredServer[];
  get(key: string): RegisteredServer | undefined;
  all(): RegisteredServer[];
}

/** Key of one run of a server. */
export function serverKey(entry: BackendServerEntry): string {
  return `${entry.id}@${entry.startedAtMs}`;
}

/** Creates an empty registry. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { outageThresholdMs: lapseAfterMs, renewalGraceMs: renewMs } = options;
  const byId = new Map<string, RegisteredServer>();
  const byKey = new Map<string, RegisteredServer>();
  const openByService = new Map<string, RegisteredServer[]>();
  let lastAnswerMs: number | undefined;
  let renewUntilMs = Number.NEGATIVE_INFINITY;

  function drop(server: RegisteredServer): string {
    byId.delete(server.entry.id);
    byKey.delete(server.key);
    openByService.clear();
    return server.key;
  }

  function put(entry: BackendServerEntry): string[] {
    const key = serverKey(entry);
    const before = byId.get(entry.id);
    const replaced = before !== undefined && before.key !== key ? [drop(before)] : [];
    const server = { key, entry, removeAtMs: undefined };
    byId.set(entry.id, server);
    byKey.set(key, server);
    openByService.clear();
    return replaced;
  }

  function remove(id: string, nowMs: number): string[] {
    const server = byId.get(id);
    if (server === undefined) return [];
    if (nowMs >= renewUntilMs) return [drop(server)];
    server.removeAtMs ??= renewUntilMs;
    return [];
  }

  function replaceAll(entries: readonly BackendServerEntry[], nowMs: number): string[] {
    const listed = new Set(entries.map(({ id }) => id));
    const missing = [...byId.keys()].filter((id) => !listed.has(id));
    return [...missing.flatMap((id) => remove(id, nowMs)), ...entries.flatMap(put)];
  }

  function open(service: string): readonly RegisteredServer[] {
    let servers = openByService.get(service);
    if (servers === undefined) {
      servers = [...byId.values()].filter(
        ({ entry }) => entry.service === service && !entry.draining,
      );
      openByService.set(service, servers);
    }
    return servers;
  }

  return {
    put,
    remove,
    replaceAll,
    listAvailable: open,
    recordStoreAnswer(nowMs) {
      if (lastAnswerMs !== undefined && nowMs - lastAnswerMs >= lapseAfterMs) {
        renewUntilMs = nowMs + renewMs;
      }
      lastAnswerMs = nowMs;
    },
    expire(nowMs) {
      return [...byId.values()]
        .filter(({ removeAtMs }) => removeAtMs !== undefined && nowMs >= removeAtMs)
        .map(drop);
    },
    get: (key) => byKey.get(key),
    all: () => [...byId.values()],
  };
}
