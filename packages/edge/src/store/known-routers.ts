/** Routers that are registered in the store. Entries of routers that ended without deregistering stay there. */
import type { RouterInfo } from '@kingcupsill/core/direct';
import type { RegisteredRouter } from './router-registration.js';

/** Registered routers. */
export interface KnownRouters {
  /** Adds a router or replaces its entry. */
  add(router: RegisteredRouter): void;
  remove(name: string): void;
  clear(): void;
  /**
   * Returns the routers, this one included, with one for each address: the entry of this router, or else the latest one, since
   * a machine may have the address of an earlier one.
   */
  list(): RouterInfo[];
}

interface KnownRouter {
  info: RouterInfo;
  revision: number;
}

/** @param self returns this router, whose own entry may still be that of an earlier run, or missing */
export function createKnownRouters(self: () => RouterInfo): KnownRouters {
  const routers = new Map<string, KnownRouter>();

  function listOthers(own: RouterInfo): RouterInfo[] {
    const byAddress = new Map<string, RouterInfo>();
    [...routers.values()]
      .filter(({ info }) => info.name !== own.name && info.address !== own.address)
      .sort((a, b) => a.revision - b.revision)
      .forEach(({ info }) => byAddress.set(info.address, info));
    return [...byAddress.values()];
  }

  return {
    add({ name, revision, entry }) {
      routers.set(name, { info: { name, ...entry }, revision });
    },
    remove: (name) => {
      routers.delete(name);
    },
    clear: () => routers.clear(),
    list() {
      const own = self();
      return [...listOthers(own), own];
    },
  };
}
