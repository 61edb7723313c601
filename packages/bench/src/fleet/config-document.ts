/** First configuration document of a fleet. */
import { EMPTY_CONFIG } from '@kingcupsill/core';
import type { BackendServer, ClientAccount, FleetConfig } from '@kingcupsill/core';
import { digestKey } from '@kingcupsill/platform';
import type { AccountTopology, BackendTopology, Topology } from './types.js';

function toAccount(account: AccountTopology): ClientAccount {
  const { share, services, apiKey, maxQueued } = account;
  return {
    share,
    services,
    keyHashes: [digestKey(apiKey)],
    ...(maxQueued === undefined ? {} : { maxQueued }),
  };
}

function toBackend({ pool, zone, region, slots }: BackendTopology): BackendServer {
  return { pool, zone, region, slots };
}

/** Key of the operator that the document admits. */
export const OPERATOR_KEY = 'bench-operator-key';

/** The configuration at version 1 for a topology. */
export function createConfigDocument(topology: Topology): FleetConfig {
  return {
    ...EMPTY_CONFIG,
    version: 1,
    accounts: Object.fromEntries(topology.accounts.map((acc) => [acc.id, toAccount(acc)])),
    services: topology.services,
    backends: Object.fromEntries(topology.backends.map((b) => [b.id, toBackend(b)])),
    operators: { bench: { keyHashes: [digestKey(OPERATOR_KEY)], mayChange: ['*'] } },
  };
}
