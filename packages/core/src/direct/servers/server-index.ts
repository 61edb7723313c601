/** Index of the registered servers by id, by run and by service. */
import type { BackendServerEntry } from '../types.js';

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

/** Index of servers. */
export interface ServerIndex {
  add(server: RegisteredServer): void;
  remove(server: RegisteredServer): void;
  setLeaving(server: RegisteredServer): void;
  findById(id: string): RegisteredServer | undefined;
  findByKey(key: string): RegisteredServer | undefined;
  all(): RegisteredServer[];
  /** Returns the servers of a service that accept new requests; the list is kept until a server changes. */
  listAvailable(service: string): readonly RegisteredServer[];
}

/** Creates an empty index. */
export function createServerIndex(): ServerIndex {
  const byId = new Map<string, RegisteredServer>();
  const byKey = new Map<string, RegisteredServer>();
  const availableByService = new Map<string, RegisteredServer[]>();

  return {
    add(server) {
      byId.set(server.entry.id, server);
      byKey.set(server.key, server);
      availableByService.clear();
    },
    remove({ entry, key }) {
      byId.delete(entry.id);
      byKey.delete(key);
      availableByService.clear();
    },
    setLeaving(server) {
      server.leaving = true;
      availableByService.clear();
    },
    findById: (id) => byId.get(id),
    findByKey: (key) => byKey.get(key),
    all: () => [...byId.values()],
    listAvailable(service) {
      const known = availableByService.get(service);
      if (known !== undefined) return known;
      const servers = [...byId.values()].filter(
        ({ entry, leaving }) => entry.service === service && !leaving,
      );
      availableByService.set(service, servers);
      return servers;
    },
  };
}
