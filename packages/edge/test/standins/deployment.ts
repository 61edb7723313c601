/** Test deployment on loopback: one router with stand-ins of the store and of backend servers. */
import { Agent, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock, RunningProcess } from '@kingcupsill/runtime';
import { Registry } from 'prom-client';
import { startEdge } from '../../src/index.js';
import type { EdgeSettings } from '../../src/index.js';
import { findFreePort } from './free-port.js';
import { createRecordingLogger } from './recording-logger.js';
import type { LoggedLine } from './recording-logger.js';
import { createServerStandin } from './server-standin.js';
import { createStallFreeClock } from './stall-free-clock.js';
import type { Arrival, ServerStandin } from './server-standin.js';
import { createStoreStandin } from './store-standin.js';
import type { StoreStandin } from './store-standin.js';

export interface CallerAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** False if the connection closed before the end of the answer. */
  complete: boolean;
}

export interface Deployment {
  store: StoreStandin;
  servers: ServerStandin[];
  router: RunningProcess;
  settings: EdgeSettings;
  logLines: LoggedLine[];
  /** Waits until the router's clock, which doesn't count stalls of the test's process, has gone on by `ms`. */
  delay(ms: number): Promise<void>;
  /** Brings a configuration into force that is the sample but for the fields of all routes. */
  changeRoutes(fields: Record<string, unknown>): Promise<void>;
  call(path: string, options?: CallOptions): Promise<CallerAnswer>;
  isReady(): Promise<boolean>;
  /** Ends the router and starts one that knows nothing of it, and waits until it is ready. */
  replaceRouter(): Promise<void>;
  close(): Promise<void>;
}

export interface CallOptions {
  method?: string;
  body?: string;
  headers?: Record<string, string>;
  agent?: Agent;
  /** Time after which the caller closes its connection. */
  abortAfterMs?: number;
}

export function sampleDocument(version = 1, overrides: Record<string, unknown> = {}) {
  const base = {
    host: 'a.example',
    timeoutMs: 4000,
    sloMs: 1000,
    priority: 1,
    maxAttempts: 2,
    service: 's1',
  };
  return {
    version,
    routes: [
      { ...base, name: 'once', pathPrefix: '/once/', type: 'unsafe' },
      { ...base, name: 'any', pathPrefix: '/any/', type: 'safe' },
      { ...base, name: 'stream', pathPrefix: '/stream/', type: 'streaming', resumable: true },
      { ...base, name: 'talk', pathPrefix: '/talk/', type: 'streaming' },
      { ...base, name: 'short', pathPrefix: '/short/', type: 'safe', timeoutMs: 300 },
    ],
    services: [{ name: 's1', maxConns: 100 }],
    limits: {
      maxHeaderBytes: 8192,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 't1', apiKeys: ['key-1'] }],
    ...overrides,
  };
}

/** Fields of routes whose requests aren't refused because the test's process, which has the processor beside others, reads them late. */
export const PATIENT = { sloMs: 4000 };

export function sampleEntry(port: number, overrides: Record<string, unknown> = {}) {
  return {
    service: 's1',
    address: `127.0.0.1:${port}`,
    zone: 'z1',
    slots: 8,
    state: 'ready',
    born: 1,
    ...overrides,
  };
}

/** Memory of the router; small, so that tests can use up the part for request bodies. */
const MEMORY_MB = 16;

async function createSettings(storePort: number): Promise<EdgeSettings> {
  const allocateAddress = async () => `127.0.0.1:${await findFreePort()}`;
  return {
    process: {
      id: 'router-1',
      zone: 'z1',
      zoneRegions: 'z1=r1',
      cores: 1,
      memoryMb: MEMORY_MB,
      maxFds: 1024,
      logLevel: 'info',
    },
    callers: { address: await allocateAddress(), readinessAddress: await allocateAddress() },
    admin: { address: await allocateAddress() },
    peers: { address: await allocateAddress() },
    store: {
      address: `127.0.0.1:${storePort}`,
      heartbeatMs: 1200,
      noticeMs: 2500,
      writesPerS: 400,
      readsPerS: 2000,
    },
    shutdown: { graceS: 5 },
    repeats: { ratio: 0.2, burst: 50, windowS: 10 },
    shares: { windowS: 4 },
  };
}

export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + 10_000;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error('condition not met in 10 s');
    await delay(10);
  }
}

export function isConfigInForce(logLines: readonly LoggedLine[], version: number): boolean {
  return logLines.some(
    ({ event, fields }) => event === 'configuration-in-force' && fields.version === version,
  );
}

function createCaller(address: string) {
  const [host, port] = address.split(':');
  let requestCount = 0;
  return (path: string, options: CallOptions = {}): Promise<CallerAnswer> => {
    requestCount += 1;
    const headers = {
      Host: 'a.example',
      'Attempt-Id': `a${requestCount}`,
      Credential: 'key-1',
      'Deadline-Ms': '4000',
      ...options.headers,
    };
    return new Promise((resolve, reject) => {
      const { method = 'GET', agent = new Agent() } = options;
      const req = request({ host, port, path, method, headers, agent }, (res) => {
        let body = '';
        res.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        // A truncated answer emits an error in addition to `close`.
        res.on('error', () => undefined);
        res.on('close', () => {
          resolve({ status: res.statusCode!, headers: res.headers, body, complete: res.complete });
        });
      });
      req.on('error', reject);
      req.end(options.body);
      if (options.abortAfterMs !== undefined) setTimeout(() => req.destroy(), options.abortAfterMs);
    });
  };
}

/** Runs a test with a deployment, and closes it. */
export async function withDeployment(
  handlers: ((arrival: Arrival) => void)[],
  run: (deployment: Deployment) => Promise<void>,
  clock?: Clock,
): Promise<void> {
  const deployment = await createDeployment(handlers, clock);
  try {
    await run(deployment);
  } finally {
    await deployment.close();
  }
}

/**
 * Starts one router and a backend server per handler, and waits until the router is ready.
 * @param clock the router's clock; by default one for which the test's process is never stalled
 */
export async function createDeployment(
  handlers: ((arrival: Arrival) => void)[],
  clock: Clock = createStallFreeClock(),
): Promise<Deployment> {
  const store = await createStoreStandin();
  const servers = await Promise.all(handlers.map((handle) => createServerStandin(handle)));
  store.put('config', 'main', sampleDocument());
  servers.forEach(({ port }, index) => store.put('servers', `i-${index}`, sampleEntry(port)));
  const settings = await createSettings(store.port);
  const logLines: Deployment['logLines'] = [];
  const closeStandins = () => {
    servers.forEach((server) => server.close());
    store.close();
  };
  const startRouter = (incarnation: string): Promise<RunningProcess> =>
    startEdge({
      settings: () => settings,
      logger: createRecordingLogger(logLines),
      droppedLines: () => 3,
      registry: new Registry(),
      clock,
      random: Math.random,
      incarnation,
    });
  let router = await startRouter('i1').catch((err: unknown) => {
    // Open stand-ins would keep the process of a failed test alive.
    closeStandins();
    throw err;
  });
  const callReadiness = createCaller(settings.callers.readinessAddress);
  const isReady = async () => (await callReadiness('/readyz')).status === 200;
  await waitUntil(isReady);
  return {
    store,
    servers,
    router,
    settings,
    logLines,
    async delay(ms) {
      const untilMs = clock() + ms;
      while (clock() < untilMs) await delay(Math.min(10, untilMs - clock()));
    },
    async changeRoutes(fields) {
      const routes = sampleDocument().routes.map((route) => ({ ...route, ...fields }));
      store.put('config', 'main', sampleDocument(2, { routes }));
      await waitUntil(() => isConfigInForce(logLines, 2));
    },
    call: createCaller(settings.callers.address),
    isReady,
    async replaceRouter() {
      await router.close();
      router = await startRouter('i2');
      await waitUntil(isReady);
    },
    async close() {
      await router.close();
      closeStandins();
    },
  };
}
