import assert from 'node:assert/strict';
import { mkdtemp, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { openSettings } from '../../src/settings-source.js';
import type { SettingsSource } from '../../src/settings-source.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';
import { createSettingsText, withProcesses } from './router-process.js';

/** Time in which a waiting router reads its file again. */
const SEVERAL_READINGS_MS = 500;

let directory = '';
let completeText = '';

before(async () => {
  directory = await mkdtemp(join(tmpdir(), 'kingcupsill-settings-'));
  completeText = await createSettingsText();
});

after(() => rm(directory, { recursive: true }));

async function write(text: string): Promise<string> {
  const file = join(directory, 'settings.ini');
  await writeFile(file, text);
  return file;
}

async function open(text: string): Promise<SettingsSource> {
  const opened = openSettings(await write(text), {});
  assert.ok(opened.ok, JSON.stringify(opened));
  return opened.source;
}

// Guards against a file that takes the process's memory and seconds of its time, and is read again every two seconds.
test('keeps the settings in force when the file has become too large', async () => {
  const source = await open(completeText);
  const { id } = source.current().process;
  await write(`${completeText}${'; comment\n'.repeat(100_000)}`.replace('id = ', 'id = new-'));
  const lines: LoggedLine[] = [];
  source.reload(createRecordingLogger(lines));
  assert.equal(source.current().process.id, id);
  assert.deepEqual(
    lines.map(({ event }) => event),
    ['settings-unreadable'],
  );
});

const toleratedFiles: [string, (text: string) => string, RegExp][] = [
  ['an unknown key', (text) => text.replace('[peers]', '[peers]\nnew = 1'), /\[peers\] new: unk/],
  ['an unknown section', (text) => `${text}[new]\nkey = 1\n`, /\[new\]: unknown section/],
  ['a key outside sections', (text) => `new = 1\n${text}`, /key new is not in a section/],
];

// Guards against: a router doesn't start when the platform adds a field to the settings.
toleratedFiles.forEach(([name, change, expected]) => {
  test(`${name} is passed over with a warning`, async () => {
    const source = await open(change(completeText));
    assert.match(source.warnings.join('\n'), expected);
    assert.equal(source.isComplete, true);
    assert.deepEqual(source.current(), (await open(completeText)).current());
  });
});

test('a byte order mark is passed over', async () => {
  assert.deepEqual((await open(`\uFEFF${completeText}`)).warnings, []);
});

const replaceableKeys = [
  'zone',
  'heartbeat_ms',
  'notice_ms',
  'grace_s',
  'ratio',
  'burst',
  'window_s',
];

// Guards against: a router doesn't start because a value is empty that it can do without.
replaceableKeys.forEach((key) => {
  test(`a fallback replaces an empty ${key}`, async () => {
    const source = await open(completeText.replace(new RegExp(`^${key} = .*`, 'm'), `${key} =`));
    assert.match(source.warnings.join('\n'), new RegExp(`\\] ${key}: `));
    assert.equal(source.isComplete, false);
  });
});

// Guards against a start that waits a second for a value that the platform doesn't have, and that the template renders as nothing.
test('an optional value that is empty is not stated, and the file is complete', async () => {
  const source = await open(completeText.replace('[store]\n', '[store]\nevacuation_ms =\n'));
  assert.equal(source.current().store.evacuationMs, undefined);
  assert.deepEqual(source.warnings, []);
  assert.equal(source.isComplete, true);
});

test('a fallback replaces a missing section of a listener that callers do not need', async () => {
  const source = await open(completeText.replace(/\[admin\]\naddress = .*\n/, ''));
  assert.match(source.warnings.join('\n'), /\[admin\] address: missing key/);
  assert.equal(source.isComplete, false);
});

// Guards against: a router runs with settings that were cut while the platform was writing them.
test('no part of a file is taken for the complete file', async () => {
  for (let length = 0; length < completeText.trimEnd().length; length += 1) {
    const opened = openSettings(await write(completeText.slice(0, length)), {});
    assert.ok(!opened.ok || !opened.source.isComplete, `the first ${length} characters`);
  }
});

// Guards against: a reload during the writing of the file replaces settings by fallbacks, or isn't repeated.
test('settings stay in force until a changed file is complete', async () => {
  const lines: LoggedLine[] = [];
  const logger = createRecordingLogger(lines);
  const source = await open(completeText);
  const changedText = completeText.replace('grace_s = 4', 'grace_s = 6');
  await write(changedText.replace(/\[repeats\][^]*/, ''));
  source.reload(logger);
  assert.equal(source.current().shutdown.graceS, 4);
  source.reloadIfChanged(logger);
  await write(changedText);
  source.reloadIfChanged(logger);
  assert.equal(source.current().shutdown.graceS, 6);
  source.reloadIfChanged(logger);
  assert.deepEqual(
    lines.map(({ event }) => event),
    ['settings-unreadable', 'settings-unreadable', 'settings-reloaded'],
  );
});

// Guards against: a running router ends by an uncaught exception when the path of its settings can't be resolved.
test('a path that becomes invalid is logged, and the settings stay in force', async () => {
  const lines: LoggedLine[] = [];
  const parent = await mkdtemp(join(directory, 'parent-'));
  const file = join(parent, 'settings.ini');
  await writeFile(file, completeText);
  const opened = openSettings(file, {});
  assert.ok(opened.ok);
  await rename(parent, `${parent}-old`);
  await writeFile(parent, '');
  opened.source.reloadIfChanged(createRecordingLogger(lines));
  assert.equal(lines[0]?.event, 'settings-unreadable');
});

const unusableTexts: [string, (text: string) => string][] = [
  ['empty', () => ''],
  ['cut', (text) => text.slice(0, text.length / 2)],
  ['without an address', (text) => text.replace(/^address = .*/m, 'address =')],
];

// Guards against: a router ends, at each restart again, while the platform hasn't written its settings.
unusableTexts.forEach(([name, change]) => {
  test(`a router whose settings file is ${name} starts when it is complete`, async () => {
    await withProcesses(async (dir, start) => {
      const settingsFile = join(dir, 'settings.ini');
      const text = await createSettingsText();
      await writeFile(settingsFile, change(text));
      const router = start({ settingsFile });
      await router.waitForErrorOutput();
      await writeFile(settingsFile, text);
      await router.waitForEvent('listening');
      assert.ok(!router.events().includes('settings-warning'));
    });
  });
});

// Guards against: a router that waits for its settings ends because nobody reads its standard error.
test('a router whose standard error is closed waits for its settings', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'settings.ini');
    const router = start({ settingsFile });
    await router.waitForErrorOutput();
    router.closeErrorOutput();
    await writeFile(settingsFile, '');
    await Promise.race([router.exited, delay(SEVERAL_READINGS_MS)]);
    await writeFile(settingsFile, await createSettingsText());
    await router.waitForEvent('listening');
  });
});

test('a router without an unneeded value starts with a warning', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'settings.ini');
    await writeFile(settingsFile, (await createSettingsText()).replace(/^ratio = .*/m, 'ratio ='));
    const router = start({ settingsFile });
    await router.waitForEvent('listening');
    assert.ok(router.events().includes('settings-warning'));
  });
});

test('SIGTERM ends a router that waits for its settings', async () => {
  await withProcesses(async (dir, start) => {
    const router = start({ settingsFile: join(dir, 'missing.ini') });
    await router.waitForErrorOutput();
    router.send('SIGTERM');
    assert.deepEqual(await router.exited, { code: 0, signal: null });
  });
});

test('an unusable file that is named on the command line is reported and ends the router', async () => {
  await withProcesses(async (dir, start) => {
    const settingsFile = join(dir, 'missing.ini');
    const router = start({ settingsFile, routerArguments: ['--config', settingsFile] });
    assert.deepEqual(await router.exited, { code: 2, signal: null });
    assert.match(router.errorOutput(), /^kingcupsill-edge: [^\n]*can't be read \(ENOENT\)\n$/);
  });
});
