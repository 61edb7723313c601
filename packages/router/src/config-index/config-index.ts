/** Indexes a configuration by API key digest and service id. */
import { createHash } from 'node:crypto';

import type { FleetConfig } from '@kingcupsill/core';

import type { AccountRecord, ConfigIndex } from './types.js';

/** Creates the index of a configuration. */
export function createConfigIndex(config: FleetConfig): ConfigIndex {
  const byKeyHash = new Map<string, AccountRecord>();
  Object.entries(config.accounts).forEach(([id, account]) => {
    account.keyHashes.forEach((hash) => byKeyHash.set(hash, { id, account }));
  });

  function findService(id: string) {
    const found = Object.hasOwn(config.services, id) ? config.services[id] : undefined;
    return found ? { id, service: found } : null;
  }

  return {
    version: config.version,
    findAccountByKey(apiKey) {
      const digest = createHash('sha256').update(apiKey).digest('hex');
      return byKeyHash.get(digest) ?? null;
    },
    findService,
    listServices(account, kind) {
      return account.services
        .map(findService)
        .filter((record) => record !== null)
        .filter((record) => record.service.kind === kind);
    },
  };
}
