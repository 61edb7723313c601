/** Routers of the soak: real processes, each with its own way to the store. It ends only processes that it started, by id. */
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ProcessRole, startProcess } from '@kingcupsill/bench';
import type { Settings } from '@kingcupsill/bench';
import { freePort } from '../standins/deployment.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import { openSpan, processName } from './types.js';
import type { Disturbance } from './types.js';

export interface Router {
  name: string;
  address: string;
  storeProxy: Proxy;
  /** Spans in which its process did not run as it should. */
  disturbances: Disturbance[];
  processName(): string;
  kill(): Promise<void>;
  /** SIGTERM; resolves when it has ended. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  hangUp(): void;
  /** Starts its next process; resolves when that is ready. */
  start(): Promise<void>;
  close(): Promise<void>;
}

/** Time in which the next process of a router must be ready. */
const START_TIMEOUT_MS = 10_000;
const GRACE_S = 4;
/** The platform kills at the end of the grace period; a loaded machine gets a second more. */
const KILL_AFTER_MS = GRACE_S * 1000 + 1000;

async function drawSettings(name: string, storePort: number): Promise<Settings> {
  const own = async () => `127.0.0.1:${await freePort()}`;
  return {
    process: { id: name, zone: 'z1', zone_regions: 'z1=r1' },
    callers: { address: await own(), readiness_address: await own() },
    peers: { address: await own() },
    admin: { address: await own() },
    store: { address: `127.0.0.1:${storePort}`, heartbeat_ms: 1200 },
    shutdown: { grace_s: GRACE_S },
    repeats: { ratio: 0.2, burst: 50, window_s: 10 },
    shares: { window_s: 4 },
  };
}

async function untilReady(address: string): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  const ready = () =>
    fetch(`http://${address}/readyz`, { signal: AbortSignal.timeout(500) })
      .then(({ status }) => status === 200)
      .catch(() => false);
  while (!(await ready()) && performance.now() < deadline) await delay(50);
}

/** Starts a router; its log goes to a file in `dir`. */
export async function createRouter(name: string, storePort: number, dir: string): Promise<Router> {
  const storeProxy = await createProxy(storePort);
  const settings = await drawSettings(name, storeProxy.port);
  const disturbances: Disturbance[] = [];
  let incarnation = 1;
  let calm: () => void = () => undefined;

  function disturbed(): void {
    calm = openSpan(disturbances, {});
  }

  const running = await startProcess({
    name,
    role: ProcessRole.Router,
    zone: 'z1',
    region: 'r1',
    script: fileURLToPath(new URL('../../dist/bin/edge.js', import.meta.url)),
    settings,
    settingsFile: join(dir, `${name}.ini`),
    portSettings: {},
    logFile: join(dir, `${name}.log`),
  });
  const readiness = String(settings.callers!.readiness_address);
  await untilReady(readiness);

  return {
    name,
    address: String(settings.callers!.address),
    storeProxy,
    disturbances,
    processName: () => processName(name, incarnation),
    async kill() {
      disturbed();
      await running.kill();
    },
    async stop() {
      disturbed();
      const timer = setTimeout(running.kill, KILL_AFTER_MS);
      await running.drain();
      clearTimeout(timer);
    },
    pause() {
      disturbed();
      running.pause();
    },
    resume() {
      running.resume();
      calm();
    },
    hangUp() {
      if (running.pid !== undefined) process.kill(running.pid, 'SIGHUP');
    },
    async start() {
      incarnation += 1;
      await running.restart();
      await untilReady(readiness);
      calm();
    },
    async close() {
      await running.kill();
      storeProxy.close();
    },
  };
}
