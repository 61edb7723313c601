/** Test fleet on the loopback interface: two routers, a backend server and the platform in this process, and a sidecar in a child process. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import type { FleetConfig } from '@kingcupsill/core';
import { EMPTY_CONFIG } from '@kingcupsill/core';
import { createObjectClient, digestKey } from '@kingcupsill/platform';
import type { Logger, RunningProcess } from '@kingcupsill/runtime';
import { createMonotonicClock, loadSettings } from '@kingcupsill/runtime';
import { createAppStandin, createPlatformStandin } from '@kingcupsill/standins';
import { Registry } from 'prom-client';
import { request } from 'undici';

import { startRouter } from '../../src/router.js';
import { routerSchema } from '../../src/settings.js';

const API_KEY = 'test-key';
const FLEET_KEY = 'test-fleet-key-for-loopback';
const SIDECAR = fileURLToPath(new URL('../../../sidecar/dist/bin/sidecar.js', import.meta.url));
const POLL_MS = 50;
const MAX_POLLS = 1000;
const ACCOUNT = { share: 1, services: ['stock'], keyHashes: [digestKey(API_KEY)] };
const CONFIG: FleetConfig = {
  ...EMPTY_CONFIG,
  version: 1,
  accounts: { kingston: ACCOUNT, montego: { ...ACCOUNT, keyHashes: [digestKey('other-key')] } },
  services: { stock: { kind: 'plain', pool: 'plain' } },
  backends: { app: { pool: 'plain', zone: 'z', region: 'r', slots: 4 } },
};

/** Request to the service. */
export interface Call {
  key: string;
  body?: string;
  path?: string;
  /** Processing time at the backend server, in milliseconds. */
  workMs?: number;
  apiKey?: string;
  signal?: AbortSignal;
}

/** Response as received by the caller. */
export interface CallResult {
  status: number;
  code?: string;
  ran?: string;
  replayed: boolean;
  /** Whether the response has a `retry-after` header. */
  retryAfter: boolean;
  text: string;
}

type Ports = Record<string, number>;

const sleep = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** Polls until the condition is true. Throws after `MAX_POLLS` polls. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await condition()) return;
    await sleep(POLL_MS);
  }
  throw new Error(`condition still false after ${MAX_POLLS} polls: ${condition.toString()}`);
}

/** Returns the environment variables common to all processes of the fleet. */
const commonEnv = (id: string, platformUrl: string) => ({
  KINGCUPSILL_PROCESS_ID: id,
  KINGCUPSILL_PROCESS_ZONE: 'z',
  KINGCUPSILL_PROCESS_REGION: 'r',
  KINGCUPSILL_LINK_FLEET_KEY: FLEET_KEY,
  KINGCUPSILL_PLATFORM_URL: platformUrl,
});

function startSidecar(platformUrl: string, appUrl: string) {
  return spawn(process.execPath, [SIDECAR], {
    env: {
      ...commonEnv('sidecar-app', platformUrl),
      KINGCUPSILL_BACKEND_ID: 'app',
      KINGCUPSILL_BACKEND_URL: appUrl,
      KINGCUPSILL_BACKEND_KIND: 'plain',
    },
    stdio: 'ignore',
  });
}

function createRouterContext(id: string, platformUrl: string) {
  const loaded = loadSettings({ schema: routerSchema, env: commonEnv(id, platformUrl) });
  if (!loaded.ok) throw new Error(loaded.message);
  const ports: Ports = {};
  const noop = () => undefined;
  const logger: Logger = {
    trace: noop,
    debug: noop,
    warn: noop,
    error: noop,
    info(event, fields) {
      if (event === 'listening') Object.assign(ports, fields);
    },
    level: () => 'info',
    setLevel: noop,
  };
  const ctx = {
    settings: loaded.settings,
    logger,
    incarnation: `${id}-run`,
    registry: new Registry(),
    clock: createMonotonicClock(),
    env: {},
  };
  return { ctx, ports };
}

async function sendCall(port: number, call: Call): Promise<CallResult> {
  const { key, body = 'twelve bolts', path = '/orders', workMs = 0, apiKey = API_KEY } = call;
  const res = await request(`http://127.0.0.1:${port}/services/stock${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${apiKey}`,
      'idempotency-key': key,
      'x-standin-work-ms': String(workMs),
    },
    body,
    signal: call.signal,
  });
  const text = await res.body.text();
  const { error } = JSON.parse(text) as { error?: { code: string; ran: string } };
  return {
    status: res.statusCode,
    code: error?.code,
    ran: error?.ran,
    replayed: res.headers['idempotent-replayed'] === 'true',
    retryAfter: res.headers['retry-after'] !== undefined,
    text,
  };
}

/** Starts the fleet. Resolves once both routers are linked to the sidecar. */
export async function startSmallFleet() {
  const platform = await createPlatformStandin({ port: 0, instanceLagMs: 0 });
  const app = await createAppStandin({ port: 0 });
  const objects = createObjectClient({ url: platform.url });
  await objects.put('config/current', Buffer.from(JSON.stringify(CONFIG)));

  async function startRouterInstance(id: string) {
    const { ctx, ports } = createRouterContext(id, platform.url);
    const running = await startRouter(ctx);
    const address = `127.0.0.1:${ports.linkPort}`;
    platform.putInstance({ id, role: 'router', zone: 'z', region: 'r', state: 'live', address });
    return {
      running,
      call: (call: Call) => sendCall(ports.callersPort!, call),
      metrics: () => ctx.registry.metrics(),
    };
  }

  const routers = [
    await startRouterInstance('router-1'),
    await startRouterInstance('router-2'),
  ] as const;
  const sidecar = startSidecar(platform.url, app.url);
  const sidecarExit = once(sidecar, 'exit');
  const openRouters: RunningProcess[] = routers.map(({ running }) => running);
  for (const { metrics } of routers) {
    await waitUntil(async () => /kingcupsill_sidecars_linked 1/.test(await metrics()));
  }

  return {
    platform,
    app,
    routers,
    /** Stops a router without draining it, so that its in-memory state is lost. */
    async kill(router: (typeof routers)[number]): Promise<void> {
      openRouters.splice(openRouters.indexOf(router.running), 1);
      await router.running.close();
    },
    async close(): Promise<void> {
      platform.faults.clear();
      sidecar.kill('SIGTERM');
      await sidecarExit;
      await Promise.all(openRouters.map((running) => running.close()));
      await Promise.all([platform.close(), app.close()]);
    },
  };
}

export type SmallFleet = Awaited<ReturnType<typeof startSmallFleet>>;
