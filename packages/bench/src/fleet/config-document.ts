/** Builds the initial configuration document of a fleet. */
import { EMPTY_CONFIG } from '@kingcupsill/core';
import type { BackendServer, ClientAccount, FleetConfig } from '@kingcupsill/core';
import { digestKey } from '@kingcupsill/platform';
import type { AccountTopology, BackendTopology, Topology } from './types.js';

function toClientAccount(account: AccountTopology): ClientAccount {
  const { share, services, apiKey, maxQueued } = account;
  return {
    share,
    services,
    keyHashes: [digestKey(apiKey)],
    ...(maxQueued === undefined ? {} : { maxQueued }),
  };
}

function toBackendServer({ pool, zone, region, slots }: BackendTopology): BackendServer {
  return { pool, zone, region, slots };
}

/** API key of the operator account in the initial configuration. */
export const OPERATOR_KEY = 'bench-operator-key';

/** Creates version 1 of the configuration for a topology. */
export function createConfigDocument(topology: Topology): FleetConfig {
  return {
    ...EMPTY_CONFIG,
    version: 1,
    accounts: Object.fromEntries(topology.accounts.map((acc) => [acc.id, toClientAccount(acc)])),
    services: topology.services,
    backends: Object.fromEntries(topology.backends.map((b) => [b.id, toBackendServer(b)])),
    operators: { bench: { keyHashes: [digestKey(OPERATOR_KEY)], mayChange: ['*'] } },
  };
}
