/** Test fleet in this process on the loopback interface: platform, backend servers, sidecars and a router. */
import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import type { FleetConfig } from '@kingcupsill/core';
import { EMPTY_CONFIG } from '@kingcupsill/core';
import { createConfigStore, createObjectClient, digestKey } from '@kingcupsill/platform';
import type { BinaryContext, SettingsSchema } from '@kingcupsill/runtime';
import { createMonotonicClock, loadSettings } from '@kingcupsill/runtime';
import {
  createAppStandin,
  createEngineStandin,
  createPlatformStandin,
} from '@kingcupsill/standins';
import { Registry } from 'prom-client';
import { request } from 'undici';

// The sidecar package does not export the start of its process.
// eslint-disable-next-line import-x/no-relative-packages
import { sidecarSchema } from '../../../sidecar/src/settings.js';
// eslint-disable-next-line import-x/no-relative-packages
import { startSidecar } from '../../../sidecar/src/sidecar.js';
import { startRouter } from '../../src/router.js';
import { routerSchema } from '../../src/settings.js';

export const API_KEY = 'key-a';
export const OTHER_API_KEY = 'key-b';
export const MODEL = 'standin-model';
const POLL_MS = 10;

/** Polls until the condition is true. A condition that stays false ends in the test runner's timeout. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(POLL_MS);
}

type Env = Record<string, string>;

/** Creates the context in which a binary starts its process. `ports` receives the fields of the `listening` log line. */
function createContext<S extends SettingsSchema>(name: string, schema: S, settings: Env) {
  const env = Object.fromEntries(
    Object.entries(settings).map(([key, value]) => [`KINGCUPSILL_${key}`, value]),
  );
  const loaded = loadSettings({ schema, env });
  assert.ok(loaded.ok, loaded.ok ? '' : loaded.message);
  const ports: Record<string, number> = {};
  const noop = () => undefined;
  const info = (event: string, fields: object = {}) => {
    if (event === 'listening') Object.assign(ports, fields);
  };
  const logger = { trace: noop, debug: noop, warn: noop, error: noop, info };
  const ctx: BinaryContext<S> = {
    settings: loaded.settings,
    logger: { ...logger, level: () => 'info', setLevel: noop },
    incarnation: `${name}-${randomBytes(4).toString('hex')}`,
    registry: new Registry(),
    clock: createMonotonicClock(),
    env: {},
  };
  return { ctx, ports };
}

const COMMON_SETTINGS = {
  PROCESS_ZONE: 'z1',
  PROCESS_REGION: 'r1',
  LINK_FLEET_KEY: 'fleet key of the tests',
};

const LOCATION = { zone: 'z1', region: 'r1' };

const CONFIG: FleetConfig = {
  ...EMPTY_CONFIG,
  version: 1,
  accounts: {
    a: { share: 1, services: [MODEL, 'shop'], keyHashes: [digestKey(API_KEY)], maxQueued: 2 },
    b: { share: 1, services: ['shop'], keyHashes: [digestKey(OTHER_API_KEY)] },
  },
  services: {
    [MODEL]: { kind: 'model', pool: 'engines' },
    shop: {
      kind: 'plain',
      pool: 'shop',
      routes: [{ method: 'POST', pathPrefix: '/record', idempotent: false }],
    },
  },
  backends: {
    e1: { pool: 'engines', slots: 2, ...LOCATION },
    w1: { pool: 'shop', slots: 2, ...LOCATION },
  },
  operators: { root: { keyHashes: [digestKey('root')], mayChange: ['*'] } },
};

/** Starts the fleet. Resolves once the router is linked to both sidecars. `routerEnv` adds settings of the router. */
export async function startTestFleet(routerEnv: Env = {}) {
  const engine = await createEngineStandin({ timeScale: 5, cacheEventLoss: 0 });
  const app = await createAppStandin({ meanWorkMs: 5 });
  const platform = await createPlatformStandin({ instanceLagMs: 0 });
  const configUrl = `${platform.url}/v1/objects/config/current`;
  const put = await request(configUrl, { method: 'PUT', body: JSON.stringify(CONFIG) });
  await put.body.dump();
  assert.ok(put.statusCode < 300);
  const store = createConfigStore({ objects: createObjectClient({ url: platform.url }) });
  let configVersion = 1;
  const patchConfig = async (patch: unknown) => {
    const id = `patch-${configVersion}`;
    const change = { id, baseVersion: configVersion, patch, reason: 'test', operatorKey: 'root' };
    assert.ok((await store.commit(change)).ok);
    configVersion += 1;
  };

  const routerContext = createContext('router', routerSchema, {
    ...COMMON_SETTINGS,
    PROCESS_ID: 'router-1',
    PLATFORM_URL: platform.url,
    CALLERS_MAX_BODY_BYTES: '20000',
    ...routerEnv,
  });
  const router = await startRouter(routerContext.ctx);
  const address = `127.0.0.1:${routerContext.ports.linkPort}`;
  platform.putInstance({ id: 'router-1', role: 'router', ...LOCATION, state: 'live', address });

  const startSidecarFor = (backend: string, url: string, kind: string) =>
    startSidecar(
      createContext('sidecar', sidecarSchema, {
        ...COMMON_SETTINGS,
        PROCESS_ID: `sidecar-${backend}`,
        PLATFORM_URL: platform.url,
        BACKEND_ID: backend,
        BACKEND_URL: url,
        BACKEND_KIND: kind,
      }).ctx,
    );
  const sidecars = {
    e1: await startSidecarFor('e1', engine.url, 'engine'),
    w1: await startSidecarFor('w1', app.url, 'plain'),
  };
  const countLinkedSidecars = async () => {
    const metrics = await routerContext.ctx.registry.metrics();
    return Number(/^kingcupsill_sidecars_linked\S* (\d+)$/m.exec(metrics)?.[1] ?? 0);
  };
  await waitUntil(async () => (await countLinkedSidecars()) === 2);

  return {
    engine,
    app,
    platform,
    router,
    sidecars,
    patchConfig,
    countLinkedSidecars,
    startEngineSidecar: () => startSidecarFor('e1', engine.url, 'engine'),
    startShopSidecar: () => startSidecarFor('w1', app.url, 'plain'),
    url: `http://127.0.0.1:${routerContext.ports.callersPort}`,
    async close() {
      await Promise.all([router.close(), ...Object.values(sidecars).map((s) => s.close())]);
      await Promise.all([engine.close(), app.close(), platform.close()]);
    },
  };
}

export type TestFleet = Awaited<ReturnType<typeof startTestFleet>>;

/** Runs a test with its own fleet, and closes the fleet even if the test fails. */
export async function withFleet(
  runTest: (fleet: TestFleet) => Promise<void>,
  routerEnv: Env = {},
): Promise<void> {
  const fleet = await startTestFleet(routerEnv);
  try {
    await runTest(fleet);
  } finally {
    await fleet.close();
  }
}
