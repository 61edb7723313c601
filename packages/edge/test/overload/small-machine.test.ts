/** A router process on a small part of a processor, as its scheduler provides it: all of it for a moment, then none. */
import assert from 'node:assert/strict';
import { writeFile } from 'node:fs/promises';
import { Agent, get } from 'node:http';
import { join } from 'node:path';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { sampleDocument, waitUntil } from '../standins/deployment.js';
import { createStoreStandin } from '../standins/store-standin.js';
import { createSettingsText, withProcesses } from '../start/router-process.js';
import type { RouterProcess } from '../start/router-process.js';

/** Fewer than the connections that may wait to be accepted, so that the queue is never full. */
const CALLERS = 45;
/** Times for which the process runs and stands still in turn. */
const RUN_MS = 8;
const STOP_MS = 80;

function readAddress(settings: string, key: string): string {
  return new RegExp(`^${key} = (.*)$`, 'm').exec(settings)![1]!;
}

/** Status of the answer on a new connection; undefined if there is none. */
function ask(address: string, path: string): Promise<number | undefined> {
  const headers = { Host: 'a.example', Credential: 'key-1' };
  return new Promise((resolve) => {
    const req = get(`http://${address}${path}`, { headers, agent: new Agent() }, (res) => {
      res.resume().on('close', () => resolve(res.statusCode));
    });
    req.on('error', () => resolve(undefined));
  });
}

async function slowDown(router: RouterProcess, state: { ended: boolean }): Promise<void> {
  while (!state.ended) {
    router.send('SIGSTOP');
    await delay(STOP_MS);
    router.send('SIGCONT');
    await delay(RUN_MS);
  }
}

async function callWhile(address: string, state: { ended: boolean }): Promise<void> {
  while (!state.ended) assert.notEqual(await ask(address, '/any/1'), undefined);
}

// Guards against: a router on a quarter of a core stays ready until its queue of new connections is full, since its loop is hardly late.
test('a slow router is not ready while connections wait though their queue has room, and is ready again', async () => {
  const store = await createStoreStandin();
  store.put('config', 'main', sampleDocument());
  const template = await createSettingsText();
  const storeAddress = readAddress(template.slice(template.indexOf('[store]')), 'address');
  const settings = template.replace(storeAddress, `127.0.0.1:${store.port}`);
  const address = readAddress(settings, 'address');
  const isReady = async () =>
    (await ask(readAddress(settings, 'readiness_address'), '/readyz')) === 200;
  try {
    await withProcesses(async (dir, start) => {
      const settingsFile = join(dir, 'settings.ini');
      await writeFile(settingsFile, settings);
      const router = start({ settingsFile });
      await router.waitForEvent('listening');
      await waitUntil(isReady);
      const state = { ended: false };
      const slow = slowDown(router, state);
      const callers = Array.from({ length: CALLERS }, () => callWhile(address, state));
      try {
        await waitUntil(async () => !(await isReady()));
      } finally {
        state.ended = true;
        await Promise.all([slow, ...callers]);
      }
      await waitUntil(isReady);
      assert.ok(router.events().includes('overload-changed'));
    });
  } finally {
    await store.close();
  }
});
