/** Indexes a configuration by API key digest and service id. */
import { createHash } from 'node:crypto';

import type { FleetConfig } from '@kingcupsill/core';

import type { AccountRecord, Directory } from './types.js';

/** Creates the index of a configuration. */
export function createDirectory(config: FleetConfig): Directory {
  const byKeyHash = new Map<string, AccountRecord>();
  Object.entries(config.accounts).forEach(([id, account]) => {
    account.keyHashes.forEach((hash) => byKeyHash.set(hash, { id, account }));
  });

  function service(id: string) {
    const found = Object.hasOwn(config.services, id) ? config.services[id] : undefined;
    return found ? { id, service: found } : null;
  }

  return {
    version: config.version,
    accountOfKey(apiKey) {
      const digest = createHash('sha256').update(apiKey).digest('hex');
      return byKeyHash.get(digest) ?? null;
    },
    service,
    servicesOf(account, kind) {
      return account.services
        .map(service)
        .filter((record) => record !== null)
        .filter((record) => record.service.kind === kind);
    },
  };
}
