/** Index of a configuration by API key digest and service id. */
import { getOwn } from '@kingcupsill/core/collections';
import { createHash } from 'node:crypto';

import type { FleetConfig } from '@kingcupsill/core';

import type { AccountRecord, ConfigIndex } from './types.js';

/** Builds the index of a configuration. */
export function createConfigIndex(config: FleetConfig): ConfigIndex {
  const accountsByKeyHash = new Map<string, AccountRecord>();
  Object.entries(config.accounts).forEach(([id, account]) => {
    account.keyHashes.forEach((hash) => accountsByKeyHash.set(hash, { id, account }));
  });

  function findService(id: string) {
    const service = getOwn(config.services, id);
    return service ? { id, service } : null;
  }

  return {
    version: config.version,
    findAccountByKey(apiKey) {
      const digest = createHash('sha256').update(apiKey).digest('hex');
      return accountsByKeyHash.get(digest) ?? null;
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
