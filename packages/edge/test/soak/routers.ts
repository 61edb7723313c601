/** Routers of the soak test: real processes, each with its own proxy to the store. Only processes started here are ended, by their id. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { stringify } from 'ini';
import { findFreePort } from '../standins/free-port.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import { createRouterProcess } from './router-process.js';
import { DisruptionCause, openSpan } from './types.js';
import type { ProcessRecord, RouterDisruption } from './types.js';

export interface Router {
  name: string;
  address: string;
  storeProxy: Proxy;
  disruptions: RouterDisruption[];
  /** All processes of the router, the newest last. */
  processes: ProcessRecord[];
  processName(): string;
  kill(): Promise<void>;
  /** Sends SIGTERM; resolves when the process has ended. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  reloadSettings(): void;
  /** Writes the settings again, the first `fraction` of the file only. */
  writeSettings(fraction?: number): Promise<void>;
  /** Starts the next process; `start` also waits until it is ready. */
  launch(): void;
  start(): Promise<void>;
  close(): Promise<void>;
}

export interface RouterOptions {
  storePort: number;
  /** Directory of the settings and logs. */
  dir: string;
  graceS: number;
  /** See `RouterProcessOptions`. */
  firstReloadDelayMs: () => number | undefined;
  reloadsFromHandler: boolean;
}

/** Maximum wait for a started process to become ready. */
const START_TIMEOUT_MS = 10_000;

async function createSettings(name: string, storePort: number, graceS: number) {
  const allocateAddress = async () => `127.0.0.1:${await findFreePort()}`;
  return {
    process: { id: name, zone: 'z1', cores: 0.513, zone_regions: 'z1=r1' },
    callers: { address: await allocateAddress(), readiness_address: await allocateAddress() },
    peers: { address: await allocateAddress() },
    admin: { address: await allocateAddress() },
    store: { address: `127.0.0.1:${storePort}`, heartbeat_ms: 1200 },
    shutdown: { grace_s: graceS },
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
export async function createRouter(name: string, options: RouterOptions): Promise<Router> {
  const { storePort, dir, graceS } = options;
  const storeProxy = await createProxy(storePort);
  const settings = await createSettings(name, storeProxy.port, graceS);
  const settingsText = stringify(settings);
  const settingsFile = join(dir, `${name}.ini`);
  const disruptions: RouterDisruption[] = [];
  const processes: ProcessRecord[] = [];
  const readinessAddress = settings.callers.readiness_address;
  let closeSpan: (() => void) | undefined;

  function endDisruption(): void {
    closeSpan?.();
    closeSpan = undefined;
  }

  function beginDisruption(cause: DisruptionCause): void {
    endDisruption();
    closeSpan = openSpan(disruptions, { cause });
  }

  const routerProcess = await createRouterProcess({
    ...options,
    name,
    settingsFile,
    logFile: join(dir, `${name}.log`),
    graceMs: graceS * 1000,
    records: processes,
  });
  await writeFile(settingsFile, settingsText);
  routerProcess.start();
  await waitUntilReady(readinessAddress);

  return {
    name,
    address: settings.callers.address,
    storeProxy,
    disruptions,
    processes,
    processName: routerProcess.processName,
    async kill() {
      beginDisruption(DisruptionCause.Fault);
      await routerProcess.kill();
    },
    async stop() {
      beginDisruption(DisruptionCause.PlannedStop);
      await routerProcess.stop();
    },
    pause() {
      beginDisruption(DisruptionCause.Fault);
      routerProcess.signal('SIGSTOP');
    },
    resume() {
      routerProcess.signal('SIGCONT');
      endDisruption();
    },
    reloadSettings: () => routerProcess.signal('SIGHUP'),
    writeSettings: (fraction = 1) =>
      writeFile(settingsFile, settingsText.slice(0, Math.round(settingsText.length * fraction))),
    launch: routerProcess.start,
    async start() {
      routerProcess.start();
      await waitUntilReady(readinessAddress);
      endDisruption();
    },
    async close() {
      await routerProcess.close();
      storeProxy.close();
    },
  };
}
