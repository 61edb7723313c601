import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { constants } from 'node:fs';
import { open, writeFile } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { waitUntil } from '../standins/deployment.js';
import { createSettingsText, withProcesses } from '../start/router-process.js';

/** Opens a named pipe that is full and that nobody reads. */
async function openFullPipe(pipe: string): Promise<FileHandle> {
  await promisify(execFile)('mkfifo', [pipe]);
  const filler = await open(pipe, constants.O_RDWR + constants.O_NONBLOCK);
  const page = Buffer.alloc(4096, '\n');
  for (let isFull = false; !isFull;) {
    isFull = await filler.write(page).then(
      () => false,
      ({ code }: NodeJS.ErrnoException) => code === 'EAGAIN',
    );
  }
  return filler;
}

const respondsAt = (address: string) => async () =>
  fetch(`http://${address}/`).then(
    () => true,
    () => false,
  );

// Guards against: a router whose log nobody reads never exits after SIGTERM, and is killed or stays without listeners.
test('a router whose log is not read exits after SIGTERM', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'settings.ini');
    const text = await createSettingsText();
    await writeFile(settingsFile, text);
    const pipe = join(dir, 'log');
    const filler = await openFullPipe(pipe);
    const log = await open(pipe, constants.O_WRONLY);
    const router = start({ settingsFile, log: log.fd });
    const readinessAddress = /readiness_address = (.+)/.exec(text)?.[1] ?? '';
    await waitUntil(respondsAt(readinessAddress));
    router.send('SIGTERM');
    // The drain ends within the grace period of four seconds.
    const timeout = AbortSignal.timeout(20_000);
    const hasTimedOut = new Promise((resolve) => {
      timeout.addEventListener('abort', () => resolve('still running'));
    });
    assert.deepEqual(await Promise.race([router.exited, hasTimedOut]), { code: 0, signal: null });
    await log.close();
    await filler.close();
  });
});
