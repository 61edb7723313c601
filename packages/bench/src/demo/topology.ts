/** Demo topology: three availability zones with a router each, two engines and one application backend server. */
import { ServiceKind } from '@kingcupsill/core';
import { BackendKind } from '../fleet/index.js';
import type { Topology } from '../fleet/index.js';
import { RECORD_PATH } from '../load/index.js';

export const DEMO_MODEL = 'optics-7b';
export const DEMO_SERVICE = 'workshop';
export const DEMO_API_KEY = 'demo-key';
export const DEMO_ACCOUNT = 'observatory';

const ENGINE_SLOTS = 8;
const APP_SLOTS = 4;

const zones = ['kingston', 'montego', 'mandeville'].map((region) => ({
  region,
  zone: `${region}-1`,
}));
const [first, second, third] = zones as [(typeof zones)[0], (typeof zones)[0], (typeof zones)[0]];

const engineDefaults = {
  kind: BackendKind.Engine,
  pool: 'engines',
  slots: ENGINE_SLOTS,
  settings: { engine: { models: DEMO_MODEL, max_batch: ENGINE_SLOTS } },
};

/** Topology of the demo fleet. */
export const DEMO_TOPOLOGY: Topology = {
  zones: zones.map((zone) => ({ ...zone, routers: 1 })),
  backends: [
    { id: 'engine-1', ...first, ...engineDefaults },
    { id: 'engine-2', ...second, ...engineDefaults },
    { id: 'workshop-1', ...third, kind: BackendKind.Plain, pool: 'workshop', slots: APP_SLOTS },
  ],
  accounts: [
    {
      id: DEMO_ACCOUNT,
      share: 1,
      services: [DEMO_MODEL, DEMO_SERVICE],
      apiKey: DEMO_API_KEY,
    },
  ],
  services: {
    [DEMO_MODEL]: { kind: ServiceKind.Model, pool: 'engines' },
    [DEMO_SERVICE]: {
      kind: ServiceKind.Plain,
      pool: 'workshop',
      routes: [{ method: 'POST', pathPrefix: RECORD_PATH, idempotent: false }],
    },
  },
};
