import assert from 'node:assert/strict';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { test } from 'node:test';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { sampleDocument, sampleEntry, waitUntil } from '../standins/deployment.js';
import { createStoreStandin } from '../standins/store-standin.js';
import { createSettingsText, withProcesses } from './router-process.js';
import type { RouterProcess } from './router-process.js';

/** Keys of the listen addresses in the settings, by the listener's name in the log. */
const ADDRESS_PATTERNS = {
  callers: /\[callers\]\naddress = ([\d.]+):(\d+)/,
  readiness: /readiness_address = ([\d.]+):(\d+)/,
  peers: /\[peers\]\naddress = ([\d.]+):(\d+)/,
  admin: /\[admin\]\naddress = ([\d.]+):(\d+)/,
};
type Listener = keyof typeof ADDRESS_PATTERNS;

/** Address that documentation uses, which no machine has. */
const UNASSIGNED_ADDRESS = '192.0.2.1:8080';

/** Starts a router while another server has one of its addresses. */
async function withTakenAddress(
  listener: Listener,
  run: (router: RouterProcess, release: () => void) => Promise<void>,
  givenText?: string,
): Promise<void> {
  const text = givenText ?? (await createSettingsText());
  const [, host, port] = ADDRESS_PATTERNS[listener].exec(text)!;
  const holder = createServer().listen(Number(port), host);
  await once(holder, 'listening');
  try {
    await withProcesses(async (dir, start) => {
      const settingsFile = join(dir, 'settings.ini');
      await writeFile(settingsFile, text);
      await run(start({ settingsFile }), () => holder.close());
    });
  } finally {
    holder.close();
  }
}

// Guards against: a router ends, at each restart again, while an address of callers is still in use.
(['callers', 'readiness'] as const).forEach((listener) => {
  test(`a router waits until the address of its ${listener} listener is free`, async () => {
    await withTakenAddress(listener, async (router, release) => {
      await router.waitForEvent('listen-failed');
      assert.ok(!router.events().includes('listening'));
      release();
      await router.waitForEvent('listening');
      assert.ok(router.events().includes('listening-late'));
    });
  });
});

function fetchReadiness(text: string): Promise<number> {
  const [, host, port] = ADDRESS_PATTERNS.readiness.exec(text)!;
  return new Promise((resolve, reject) => {
    get({ host, port, path: READINESS_PATH, agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode!);
    }).on('error', reject);
  });
}

// Guards against: callers are sent to a router that refuses their connections.
test('a router is not ready until callers can connect', async () => {
  const store = await createStoreStandin();
  store.put('config', 'main', sampleDocument());
  store.put('servers', 'i-0', sampleEntry(1));
  const storeAddress = `[store]\naddress = 127.0.0.1:${store.port}`;
  const settingsText = await createSettingsText();
  const text = settingsText.replace(/\[store\]\naddress = .*/, storeAddress);
  const waitForTakenAddress = async (router: RouterProcess, release: () => void) => {
    await router.waitForEvent('versions-recorded');
    assert.equal(await fetchReadiness(text), 503);
    release();
    await waitUntil(async () => (await fetchReadiness(text)) === 200);
  };
  try {
    await withTakenAddress('callers', waitForTakenAddress, text);
  } finally {
    store.close();
  }
});

// Guards against: a router doesn't serve callers because an address that they don't need is in use.
(['peers', 'admin'] as const).forEach((listener) => {
  test(`a router starts without its ${listener} listener and listens later`, async () => {
    await withTakenAddress(listener, async (router, release) => {
      await router.waitForEvent('listening');
      assert.ok(!router.events().includes('listening-late'));
      release();
      await router.waitForEvent('listening-late');
    });
  });
});

// Guards against: a router that waits for an address doesn't end before it is killed.
test('SIGTERM ends a router that waits for an address', async () => {
  await withTakenAddress('callers', async (router) => {
    await router.waitForEvent('listen-failed');
    router.send('SIGTERM');
    assert.deepEqual(await router.exited, { code: 0, signal: null });
  });
});

// Guards against: a router ends, at each restart again, because its address isn't assigned to the machine yet.
test('a router waits for an address that the machine does not have yet', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'settings.ini');
    const text = await createSettingsText();
    const changed = text.replace(
      ADDRESS_PATTERNS.callers,
      `[callers]\naddress = ${UNASSIGNED_ADDRESS}`,
    );
    await writeFile(settingsFile, changed);
    const router = start({ settingsFile });
    await router.waitForEvent('listen-failed');
    router.send('SIGTERM');
    assert.deepEqual(await router.exited, { code: 0, signal: null });
  });
});
