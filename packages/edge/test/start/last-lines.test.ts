import assert from 'node:assert/strict';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';
import { createSettingsText, withProcesses } from './router-process.js';

const PROCESSES = 4;
const LAST_EVENTS = ['drain-ended', 'drained', 'closed'];

// Guards against ends of processes that can't be told from crashes, because the exit overtakes the last lines of the log.
test('a router that is stopped logs the end of its drain', async () => {
  await withProcesses(async (dir, start) => {
    const indexes = Array.from({ length: PROCESSES }, (_none, index) => index);
    await Promise.all(
      indexes.map(async (index) => {
        const settingsFile = join(dir, `settings-${index}.ini`);
        await writeFile(settingsFile, await createSettingsText());
        const router = start({ settingsFile });
        await router.waitForEvent('listening');
        router.send('SIGTERM');
        assert.equal((await router.exited).code, 0);
        assert.deepEqual(router.events().slice(-LAST_EVENTS.length), LAST_EVENTS);
      }),
    );
  });
});
