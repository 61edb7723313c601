/** Routers of the soak test: real processes, each with its own proxy to the store. Only processes started here are ended, by their id. */
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { ProcessRole, startProcess } from '@kingcupsill/bench';
import type { Settings } from '@kingcupsill/bench';
import { findFreePort } from '../standins/deployment.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import { formatProcessName, openSpan } from './types.js';
import type { TimeSpan } from './types.js';

export interface Router {
  name: string;
  address: string;
  storeProxy: Proxy;
  /** Spans during which the process was stopped, killed, paused or starting. */
  disruptions: TimeSpan[];
  processName(): string;
  kill(): Promise<void>;
  /** Sends SIGTERM; resolves when the process has ended. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  reloadSettings(): void;
  /** Starts the next process; resolves when it is ready. */
  start(): Promise<void>;
  close(): Promise<void>;
}

/** Maximum wait for a started process to become ready. */
const START_TIMEOUT_MS = 10_000;
const GRACE_S = 4;
/** The platform kills the process at the end of the grace period; one more second allows for a loaded machine. */
const KILL_AFTER_MS = GRACE_S * 1000 + 1000;

async function createSettings(name: string, storePort: number): Promise<Settings> {
  const allocateAddress = async () => `127.0.0.1:${await findFreePort()}`;
  return {
    process: { id: name, zone: 'z1', zone_regions: 'z1=r1' },
    callers: { address: await allocateAddress(), readiness_address: await allocateAddress() },
    peers: { address: await allocateAddress() },
    admin: { address: await allocateAddress() },
    store: { address: `127.0.0.1:${storePort}`, heartbeat_ms: 1200 },
    shutdown: { grace_s: GRACE_S },
    repeats: { ratio: 0.2, burst: 50, window_s: 10 },
    shares: { window_s: 4 },
  };
}

async function waitUntilReady(address: string): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  const isReady = () =>
    fetch(`http://${address}/readyz`, { signal: AbortSignal.timeout(500) })
      .then(({ status }) => status === 200)
      .catch(() => false);
  while (!(await isReady()) && performance.now() < deadline) await delay(50);
}

/** Starts a router that logs to a file in `dir`. */
export async function createRouter(name: string, storePort: number, dir: string): Promise<Router> {
  const storeProxy = await createProxy(storePort);
  const settings = await createSettings(name, storeProxy.port);
  const disruptions: TimeSpan[] = [];
  let incarnation = 1;
  let endDisruption: () => void = () => undefined;

  function beginDisruption(): void {
    endDisruption = openSpan(disruptions, {});
  }

  const routerProcess = await startProcess({
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
  const readinessAddress = String(settings.callers!.readiness_address);
  await waitUntilReady(readinessAddress);

  return {
    name,
    address: String(settings.callers!.address),
    storeProxy,
    disruptions,
    processName: () => formatProcessName(name, incarnation),
    async kill() {
      beginDisruption();
      await routerProcess.kill();
    },
    async stop() {
      beginDisruption();
      const timer = setTimeout(routerProcess.kill, KILL_AFTER_MS);
      await routerProcess.drain();
      clearTimeout(timer);
    },
    pause() {
      beginDisruption();
      routerProcess.pause();
    },
    resume() {
      routerProcess.resume();
      endDisruption();
    },
    reloadSettings() {
      if (routerProcess.pid !== undefined) process.kill(routerProcess.pid, 'SIGHUP');
    },
    async start() {
      incarnation += 1;
      await routerProcess.restart();
      await waitUntilReady(readinessAddress);
      endDisruption();
    },
    async close() {
      await routerProcess.kill();
      storeProxy.close();
    },
  };
}
