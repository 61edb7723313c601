/** Real router process with stand-ins of the store and of backend servers. */
import { writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { join } from 'node:path';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { sampleDocument, sampleEntry, waitUntil } from '../standins/deployment.js';
import { createServerStandin } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { createStoreStandin } from '../standins/store-standin.js';
import type { StoreStandin } from '../standins/store-standin.js';
import { createSettingsText, withProcesses } from './router-process.js';
import type { RouterProcess, RouterProcessOptions } from './router-process.js';

export interface ProcessDeployment {
  router: RouterProcess;
  store: StoreStandin;
  /** Addresses of the router. */
  callers: string;
  readiness: string;
}

export interface ProcessDeploymentOptions extends Omit<RouterProcessOptions, 'settingsFile'> {
  /** Handlers of the backend servers, one for each. */
  handlers: ((arrival: Arrival) => void)[];
  memoryMb?: number;
}

let callCount = 0;

/** Sends a request on a connection of its own. Returns the status of the answer; undefined without one. */
export function callForStatus(address: string, path: string): Promise<number | undefined> {
  const [host, port] = address.split(':');
  callCount += 1;
  const headers = { Host: 'a.example', Credential: 'key-1', 'Attempt-Id': `s${callCount}` };
  return new Promise((resolve) => {
    const req = request({ host, port, path, headers, agent: false }, (res) => {
      res.on('error', () => undefined);
      res.on('close', () => resolve(res.statusCode));
      res.resume();
    });
    req.on('error', () => resolve(undefined));
    req.end();
  });
}

async function createSettings(storePort: number, memoryMb: number | undefined): Promise<string> {
  const text = await createSettingsText();
  const memory = memoryMb === undefined ? '' : `\nmemory_mb = ${memoryMb}`;
  return text
    .replace(/\[store\]\naddress = .*/, `[store]\naddress = 127.0.0.1:${storePort}`)
    .replace('[process]', `[process]${memory}`);
}

/** Runs a test with a router that is ready, and ends it. */
export async function withRouterProcess(
  { handlers, memoryMb, ...processOptions }: ProcessDeploymentOptions,
  run: (deployment: ProcessDeployment) => Promise<void>,
): Promise<void> {
  const store = await createStoreStandin();
  const servers = await Promise.all(handlers.map((handle) => createServerStandin(handle)));
  store.put('config', 'main', sampleDocument());
  servers.forEach(({ port }, index) => store.put('servers', `i-${index}`, sampleEntry(port)));
  const text = await createSettings(store.port, memoryMb);
  const callers = /\naddress = (.*)/.exec(text)![1]!;
  const readiness = /readiness_address = (.*)/.exec(text)![1]!;
  try {
    await withProcesses(async (dir, start) => {
      const settingsFile = join(dir, 'settings.ini');
      await writeFile(settingsFile, text);
      const router = start({ settingsFile, ...processOptions });
      await waitUntil(async () => (await callForStatus(readiness, READINESS_PATH)) === 200);
      await run({ router, store, callers, readiness });
    });
  } finally {
    servers.forEach((server) => server.close());
    store.close();
  }
}
