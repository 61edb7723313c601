import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { constants } from 'node:fs';
import { open, readFile, readdir, rename, writeFile } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { createSettingsText, withProcesses } from './router-process.js';
import type { RouterProcess, StartRouter } from './router-process.js';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const OPEN_TIMEOUT_MS = 20_000;
const POLL_MS = 5;

/** Opens a named pipe for writing. Resolves when another process has opened it for reading. */
async function openForReader(pipe: string): Promise<FileHandle> {
  const deadline = performance.now() + OPEN_TIMEOUT_MS;
  for (;;) {
    try {
      return await open(pipe, constants.O_WRONLY + constants.O_NONBLOCK);
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      if (code !== 'ENXIO' || performance.now() > deadline) throw err;
    }
    await delay(POLL_MS);
  }
}

/** Starts a router and sends it a signal while it reads its settings for the first time. */
async function startAndSignal(
  dir: string,
  start: StartRouter,
  signal: NodeJS.Signals,
): Promise<RouterProcess> {
  const settingsFile = join(dir, 'settings.ini');
  const text = await createSettingsText();
  await promisify(execFile)('mkfifo', [settingsFile]);
  const router = start({ settingsFile });
  const pipe = await openForReader(settingsFile);
  await pipe.write(text);
  const completeFile = join(dir, 'complete.ini');
  await writeFile(completeFile, text);
  await rename(completeFile, settingsFile);
  router.send(signal);
  await pipe.close();
  return router;
}

/** Node module that is loaded before the router; prints which modules the router has loaded when it handles its first signal. */
const PRINT_LOADED_MODULES = `data:text/javascript,${encodeURIComponent(`
  import { createRequire } from 'node:module';
  import { writeSync } from 'node:fs';
  const { cache } = createRequire(process.cwd() + '/');
  process.once('newListener', (signal) => {
    writeSync(2, JSON.stringify({ signal, modules: Object.keys(cache).length }));
  });
`)}`;

// Guards against: a SIGHUP in the first tenths of a second ends a starting router, or is lost.
test('SIGHUP during the first reading of the settings leads to a second one', async () => {
  await withProcesses(async (dir, start) => {
    const router = await startAndSignal(dir, start, 'SIGHUP');
    await router.waitForEvent('listening');
    assert.deepEqual(router.events().slice(0, 2), ['starting', 'settings-reloaded']);
  });
});

// Guards against: a SIGTERM before the signal handlers exist ends a starting router by the signal.
test('SIGTERM during the first reading of the settings ends the router with exit code 0', async () => {
  await withProcesses(async (dir, start) => {
    const router = await startAndSignal(dir, start, 'SIGTERM');
    assert.deepEqual(await router.exited, { code: 0, signal: null });
  });
});

// Guards against: signals end the router while its program is being loaded, which takes most of its start.
test('signals are handled before the program is loaded', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'settings.ini');
    await writeFile(settingsFile, await createSettingsText());
    const router = start({ settingsFile, nodeArguments: ['--import', PRINT_LOADED_MODULES] });
    await router.waitForEvent('listening');
    assert.deepEqual(JSON.parse(router.errorOutput()), { signal: 'SIGHUP', modules: 0 });
  });
});

/** Returns what the deploy file runs, as arguments of Node and the script. */
async function readRunCommand(): Promise<{ nodeArguments: string[]; entryPoint: string }> {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const words = /^run = "node (.*)"$/m.exec(text)![1]!.split(' ');
  return { nodeArguments: words.slice(0, -1), entryPoint: join(ROOT, words.at(-1)!) };
}

// Guards against: a SIGHUP while Node loads its entry file ends a starting router, or writes a report.
test('SIGHUP before the first line of the entry file leads to a second reading of the settings', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'settings.ini');
    await writeFile(settingsFile, await createSettingsText());
    const preloaded = join(dir, 'signal.cjs');
    await writeFile(preloaded, `process.kill(process.pid, 'SIGHUP');`);
    const { nodeArguments, entryPoint } = await readRunCommand();
    const reports = [`--report-directory=${dir}`, '--require', preloaded];
    const options = { settingsFile, entryPoint, nodeArguments: [...nodeArguments, ...reports] };
    const router = start(options);
    await router.waitForEvent('listening');
    assert.ok(router.events().includes('settings-reloaded'));
    assert.deepEqual((await readdir(dir)).sort(), ['settings.ini', 'signal.cjs']);
    assert.equal(router.errorOutput(), '');
  });
});
