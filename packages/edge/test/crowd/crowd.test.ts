/** Guards against a router that ends, exceeds its memory or answers nobody any more because of callers that keep to no limit (issue 60). */
import assert from 'node:assert/strict';
import { readdir, readFile, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { join } from 'node:path';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { sampleDocument, sampleEntry, waitUntil } from '../standins/deployment.js';
import { createServerStandin, sendAnswer } from '../standins/server-standin.js';
import { createStoreStandin } from '../standins/store-standin.js';
import { createSettingsText, withProcesses } from '../start/router-process.js';
import { CROWD_FORMS, LARGE_ANSWER, LARGE_PATH, openCrowd } from './crowd.js';
import type { CrowdForm } from './crowd.js';

/** Half of what the deploy file allows, so that a small crowd suffices. */
const NODE_ARGUMENTS = ['--max-old-space-size=64'];
const CROWD_SIZE = 60;
/** Descriptors besides those of the crowd, of which each caller may have one to a server as well. */
const OTHER_DESCRIPTORS = 100;
/** Time for which the crowd stays after it has written what is taken. */
const STAY_MS = 1000;

function call(address: string, path: string): Promise<number | undefined> {
  const [host, port] = address.split(':');
  const headers = { Host: 'a.example', Credential: 'key-1', 'Attempt-Id': 'ordinary' };
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

async function checkCrowd(memoryMb: number, forms: readonly CrowdForm[]): Promise<void> {
  const store = await createStoreStandin();
  const server = await createServerStandin((arrival) =>
    sendAnswer(arrival, arrival.req.url === LARGE_PATH ? LARGE_ANSWER : 'answer'),
  );
  store.put('config', 'main', sampleDocument());
  store.put('servers', 'i-0', sampleEntry(server.port));
  const text = (await createSettingsText())
    .replace(/\[store\]\naddress = .*/, `[store]\naddress = 127.0.0.1:${store.port}`)
    .replace('[process]', `[process]\nmemory_mb = ${memoryMb}`);
  const callers = /\naddress = (.*)/.exec(text)![1]!;
  const readiness = /readiness_address = (.*)/.exec(text)![1]!;
  try {
    await withProcesses(async (dir, start) => {
      const settingsFile = join(dir, 'settings.ini');
      await writeFile(settingsFile, text);
      const router = start({ settingsFile, nodeArguments: NODE_ARGUMENTS });
      await waitUntil(async () => (await call(readiness, READINESS_PATH)) === 200);
      const crowd = openCrowd(callers, CROWD_SIZE, forms);
      await Promise.race([crowd.written, router.exited]);
      await Promise.race([delay(STAY_MS), router.exited]);
      // It fails if the process has ended.
      const status = await readFile(`/proc/${router.pid}/status`, 'utf8');
      const descriptors = (await readdir(`/proc/${router.pid}/fd`)).length;
      assert.ok(descriptors <= 2 * CROWD_SIZE + OTHER_DESCRIPTORS, `${descriptors} descriptors`);
      const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1024;
      assert.ok(peakMb < memoryMb, `${peakMb} MB`);
      await crowd.close();
      await waitUntil(async () => (await call(callers, '/once/ordinary')) === 200);
    });
  } finally {
    server.close();
    store.close();
  }
}

for (const form of CROWD_FORMS)
  test(`a router lives, within 210 MB, and answers after a crowd with ${form}`, () =>
    checkCrowd(210, [form]));
for (const memoryMb of [210, 350])
  test(`a router lives, within ${memoryMb} MB, and answers after a crowd with all forms`, () =>
    checkCrowd(memoryMb, CROWD_FORMS));
