/** Two routers, an application backend server and the platform in this process, and a sidecar in its own, on loopback. */
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

/** A call of the service; `workMs` is how long the backend server works on it. */
export interface Call {
  key: string;
  body?: string;
  path?: string;
  workMs?: number;
  apiKey?: string;
  signal?: AbortSignal;
}

/** What the caller sees. */
export interface Answer {
  status: number;
  code?: string;
  ran?: string;
  replayed: boolean;
  retryAfter: boolean;
  text: string;
}

type Ports = Record<string, number>;

const pause = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** Waits until `check` holds. */
export async function until(check: () => boolean | Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await check()) return;
    await pause(POLL_MS);
  }
  throw new Error(`still not so after ${MAX_POLLS} polls: ${check.toString()}`);
}

/** Variables that every process of the fleet needs. */
const identity = (id: string, platformUrl: string) => ({
  KINGCUPSILL_PROCESS_ID: id,
  KINGCUPSILL_PROCESS_ZONE: 'z',
  KINGCUPSILL_PROCESS_REGION: 'r',
  KINGCUPSILL_LINK_FLEET_KEY: FLEET_KEY,
  KINGCUPSILL_PLATFORM_URL: platformUrl,
});

function startSidecar(platformUrl: string, appUrl: string) {
  return spawn(process.execPath, [SIDECAR], {
    env: {
      ...identity('sidecar-app', platformUrl),
      KINGCUPSILL_BACKEND_ID: 'app',
      KINGCUPSILL_BACKEND_URL: appUrl,
      KINGCUPSILL_BACKEND_KIND: 'plain',
    },
    stdio: 'ignore',
  });
}

function routerContext(id: string, platformUrl: string) {
  const loaded = loadSettings({ schema: routerSchema, env: identity(id, platformUrl) });
  if (!loaded.ok) throw new Error(loaded.message);
  const ports: Ports = {};
  const quiet = () => undefined;
  const logger: Logger = {
    trace: quiet,
    debug: quiet,
    warn: quiet,
    error: quiet,
    info(event, fields) {
      if (event === 'listening') Object.assign(ports, fields);
    },
    level: () => 'info',
    setLevel: quiet,
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

async function send(port: number, call: Call): Promise<Answer> {
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

/** Starts the fleet and waits until both routers are linked to the sidecar. */
export async function startSmallFleet() {
  const platform = await createPlatformStandin({ port: 0, instanceLagMs: 0 });
  const app = await createAppStandin({ port: 0 });
  const objects = createObjectClient({ url: platform.url });
  await objects.put('config/current', Buffer.from(JSON.stringify(CONFIG)));

  async function startOne(id: string) {
    const { ctx, ports } = routerContext(id, platform.url);
    const running = await startRouter(ctx);
    const address = `127.0.0.1:${ports.linkPort}`;
    platform.putInstance({ id, role: 'router', zone: 'z', region: 'r', state: 'live', address });
    return {
      running,
      call: (call: Call) => send(ports.callersPort!, call),
      metrics: () => ctx.registry.metrics(),
    };
  }

  const routers = [await startOne('router-1'), await startOne('router-2')] as const;
  const sidecar = startSidecar(platform.url, app.url);
  const sidecarEnded = once(sidecar, 'exit');
  const closing: RunningProcess[] = routers.map(({ running }) => running);
  for (const { metrics } of routers) {
    await until(async () => /kingcupsill_sidecars_linked 1/.test(await metrics()));
  }

  return {
    platform,
    app,
    routers,
    /** Ends a router at once, with all that it holds in memory. */
    async kill(router: (typeof routers)[number]): Promise<void> {
      closing.splice(closing.indexOf(router.running), 1);
      await router.running.close();
    },
    async close(): Promise<void> {
      platform.faults.clear();
      sidecar.kill('SIGTERM');
      await sidecarEnded;
      await Promise.all(closing.map((running) => running.close()));
      await Promise.all([platform.close(), app.close()]);
    },
  };
}

export type SmallFleet = Awaited<ReturnType<typeof startSmallFleet>>;
