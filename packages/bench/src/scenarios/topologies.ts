/** Builds fleet topologies of the deployments, with engine times scaled down. */
import { ServiceKind } from '@kingcupsill/core';
import type { Service } from '@kingcupsill/core';
import { BackendKind } from '../fleet/index.js';
import { RECORD_PATH } from '../load/index.js';
import type { AccountTopology, BackendTopology, Settings, Topology } from '../fleet/index.js';

/** A region and its only availability zone. */
interface Location {
  zone: string;
  region: string;
}

/** Locations, sizes, services and client accounts of a deployment. */
export interface Deployment {
  locations: readonly Location[];
  engines: number;
  engineSlots: number;
  appServers: number;
  appSlots: number;
  model: string;
  plainService: string;
  accounts: readonly AccountTopology[];
}

export const ENGINE_POOL = 'engines';
export const PLAIN_POOL = 'plain';

/** Speed of the stand-ins relative to a real engine, so that a one-minute run serves thousands of requests. */
const TIME_SCALE = 2;
const TOKENS_PER_CHUNK = 8;
const QUEUE_TIMEOUT_MS = 120_000;

/** Creates client accounts; the first `largeCount` have a share of 4, the others of 1. */
export function createAccounts(
  count: number,
  largeCount: number,
  services: string[],
): AccountTopology[] {
  return Array.from({ length: count }, (_, i) => {
    const id = `account-${String(i + 1).padStart(2, '0')}`;
    return { id, share: i < largeCount ? 4 : 1, services, apiKey: `key-${id}`, maxQueued: 1000 };
  });
}

function createServices(deployment: Deployment): Record<string, Service> {
  const { model, plainService } = deployment;
  return {
    [model]: { kind: ServiceKind.Model, pool: ENGINE_POOL, queueTimeoutMs: QUEUE_TIMEOUT_MS },
    [plainService]: {
      kind: ServiceKind.Plain,
      pool: PLAIN_POOL,
      queueTimeoutMs: QUEUE_TIMEOUT_MS,
      routes: [{ method: 'POST', pathPrefix: RECORD_PATH, idempotent: false }],
    },
  };
}

function engineSettings({ model, engineSlots }: Deployment): Settings {
  return {
    engine: {
      models: model,
      max_batch: engineSlots,
      time_scale: TIME_SCALE,
      tokens_per_chunk: TOKENS_PER_CHUNK,
    },
  };
}

function createBackends(deployment: Deployment): BackendTopology[] {
  const { locations, engines, engineSlots, appServers, appSlots } = deployment;
  const getLocation = (i: number) => locations[i % locations.length] as Location;
  const engineBackends = Array.from({ length: engines }, (_, i): BackendTopology => ({
    id: `engine-${i + 1}`,
    kind: BackendKind.Engine,
    pool: ENGINE_POOL,
    slots: engineSlots,
    settings: engineSettings(deployment),
    ...getLocation(i),
  }));
  const appBackends = Array.from({ length: appServers }, (_, i): BackendTopology => ({
    id: `app-${i + 1}`,
    kind: BackendKind.Plain,
    pool: PLAIN_POOL,
    slots: appSlots,
    ...getLocation(i),
  }));
  return [...engineBackends, ...appBackends];
}

/** Creates the topology of a deployment, with its routers distributed evenly over the zones. */
export function createTopology(deployment: Deployment, routers: number): Topology {
  const { locations, accounts } = deployment;
  return {
    zones: locations.map((location, i) => ({
      ...location,
      routers: Math.floor(routers / locations.length) + (i < routers % locations.length ? 1 : 0),
    })),
    backends: createBackends(deployment),
    accounts: [...accounts],
    services: createServices(deployment),
  };
}
