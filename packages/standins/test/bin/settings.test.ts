import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { loadSettings } from '@kingcupsill/runtime';
import { settingsSchema } from '../../src/bin/settings.js';

const load = async (text: string, env: Record<string, string> = {}) => {
  const dir = await mkdtemp(join(tmpdir(), 'standin-'));
  try {
    const path = join(dir, 'standin.ini');
    await writeFile(path, text);
    return loadSettings({ schema: settingsSchema, file: path, env });
  } finally {
    await rm(dir, { recursive: true });
  }
};

test('environment variables override settings in the file', async () => {
  const plan = JSON.stringify([{ atMs: 5, fault: { kind: 'freeze', durationMs: 10 } }]);
  const text = `[standin]\nkind = engine\n[engine]\nmax_batch = 8\nmodels = a, b\nplan = ${plan}\n`;
  const loaded = await load(text, { KINGCUPSILL_ENGINE_MAX_BATCH: '3' });
  assert.ok(loaded.ok);
  assert.equal(loaded.settings.engine.maxBatch, 3);
  assert.deepEqual(loaded.settings.engine.models, ['a', 'b']);
  assert.equal(loaded.settings.engine.plan?.[0]?.atMs, 5);
});

test('errors about unknown keys and invalid values name the section', async () => {
  const bad = [
    ['[standin]\nkind = engine\n[engine]\nspeed = 1\n', /\[engine\].*speed/],
    ['[standin]\nkind = engine\n[engine]\nmax_batch = x\n', /\[engine\] max_batch/],
    ['[standin]\nkind = boat\n', /\[standin\] kind/],
    ['[standin]\nkind = engine\n[engine]\nplan = {\n', /\[engine\] plan: is not JSON/],
    ['kind = engine\n', /kind is not in a section/],
  ] as const;
  for (const [text, message] of bad) {
    const loaded = await load(text);
    assert.ok(!loaded.ok);
    assert.match(loaded.message, message);
  }
});
