/** Routers of the soak: real processes, each with its own way to the store. It ends only processes that it started, by id. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { freePort } from '../standins/deployment.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import type { Disturbance } from './types.js';

export interface Router {
  name: string;
  address: string;
  storeProxy: Proxy;
  /** Spans in which its process did not run as it should. */
  disturbances: Disturbance[];
  /** Number of its process, by which what one process has seen can be told from what the next one has. */
  incarnation(): number;
  kill(): Promise<void>;
  /** SIGTERM; resolves when it has ended. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  hangUp(): void;
  start(): Promise<void>;
  ready(): Promise<boolean>;
  close(): Promise<void>;
}

/** Time in which the next process of a router must be ready. */
const START_TIMEOUT_MS = 10_000;
export const GRACE_S = 4;

function settingsText(name: string, addresses: Record<string, string>): string {
  return [
    `[process]\nid = ${name}\nzone = z1\nzone_regions = z1=r1`,
    `[callers]\naddress = ${addresses.callers}\nreadiness_address = ${addresses.readiness}`,
    `[peers]\naddress = ${addresses.peers}`,
    `[admin]\naddress = ${addresses.admin}`,
    `[store]\naddress = ${addresses.store}\nheartbeat_ms = 1200`,
    `[shutdown]\ngrace_s = ${GRACE_S}`,
    '[repeats]\nratio = 0.2\nburst = 50\nwindow_s = 10',
    '[shares]\nwindow_s = 4\n',
  ].join('\n');
}

function ended(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => resolve());
  });
}

/** Starts a router; its log goes to a file in `dir`. */
export async function createRouter(name: string, storePort: number, dir: string): Promise<Router> {
  const script = fileURLToPath(new URL('../../dist/bin/edge.js', import.meta.url));
  const storeProxy = await createProxy(storePort);
  const own = async () => `127.0.0.1:${await freePort()}`;
  const addresses = {
    callers: await own(),
    readiness: await own(),
    peers: await own(),
    admin: await own(),
    store: `127.0.0.1:${storeProxy.port}`,
  };
  const file = join(dir, `${name}.ini`);
  await writeFile(file, settingsText(name, addresses));
  const log = createWriteStream(join(dir, `${name}.log`));
  const disturbances: Disturbance[] = [];
  let incarnation = 0;
  let child: ChildProcess;

  async function ready(): Promise<boolean> {
    return fetch(`http://${addresses.readiness}/readyz`, { signal: AbortSignal.timeout(500) })
      .then(({ status }) => status === 200)
      .catch(() => false);
  }

  function disturbed(): void {
    disturbances.push({ fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY });
  }

  function calm(): void {
    disturbances.forEach((span) => {
      span.untilMs = Math.min(span.untilMs, performance.now());
    });
  }

  async function start(): Promise<void> {
    incarnation += 1;
    child = spawn(process.execPath, [script, '--config', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (!(await ready()) && performance.now() < deadline) {
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
    calm();
  }

  async function end(signal: NodeJS.Signals): Promise<void> {
    disturbed();
    const last = child;
    last.kill(signal);
    // A paused process takes no signal but this one.
    last.kill('SIGCONT');
    const timer = setTimeout(() => last.kill('SIGKILL'), GRACE_S * 1000 + 1000);
    await ended(last);
    clearTimeout(timer);
  }

  await start();
  return {
    name,
    address: addresses.callers,
    storeProxy,
    disturbances,
    incarnation: () => incarnation,
    kill: () => end('SIGKILL'),
    stop: () => end('SIGTERM'),
    pause() {
      disturbed();
      child.kill('SIGSTOP');
    },
    resume() {
      child.kill('SIGCONT');
      calm();
    },
    hangUp() {
      child.kill('SIGHUP');
    },
    start,
    ready,
    async close() {
      await end('SIGKILL');
      storeProxy.close();
      log.end();
    },
  };
}
