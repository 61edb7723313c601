import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { z } from 'zod';
import {
  adminSection,
  linkSection,
  loadSettings,
  platformSection,
  processSection,
} from '../../src/index.js';

const schema = z.strictObject({
  process: processSection,
  admin: adminSection,
  link: linkSection,
  platform: platformSection,
});

const validSettings = `
[process]
id = router-1
zone = kingston-a
region = kingston
[link]
port = 7000
fleet_key = 0123456789abcdef
allow_plain_tcp = true
[platform]
url = http://127.0.0.1:9000
`;

let directory = '';

before(async () => {
  directory = await mkdtemp(join(tmpdir(), 'kingcupsill-settings-'));
});

after(() => rm(directory, { recursive: true }));

async function load(text: string, env: Record<string, string> = {}) {
  const file = join(directory, 'settings.ini');
  await writeFile(file, text);
  return loadSettings({ schema, file, env });
}

async function loadError(text: string, env: Record<string, string> = {}): Promise<string> {
  const loaded = await load(text, env);
  assert.ok(!loaded.ok);
  assert.ok(!loaded.message.includes('\n'));
  return loaded.message;
}

test('text is converted to typed values, keys to camel case, and defaults are applied', async () => {
  const loaded = await load(validSettings);
  assert.ok(loaded.ok, JSON.stringify(loaded));
  assert.deepEqual(loaded.settings.process, {
    id: 'router-1',
    zone: 'kingston-a',
    region: 'kingston',
    logLevel: 'info',
  });
  assert.deepEqual(loaded.settings.admin, { host: '127.0.0.1', port: 0 });
  assert.equal(loaded.settings.link.port, 7000);
  assert.equal(loaded.settings.link.allowPlainTcp, true);
  assert.equal(loaded.settings.link.fleetKey, '0123456789abcdef');
});

test('environment variables override the file or replace it', async () => {
  const loaded = await load(validSettings, {
    KINGCUPSILL_LINK_PORT: '7001',
    KINGCUPSILL_BENCH_SEED: '1',
  });
  assert.ok(loaded.ok);
  assert.equal(loaded.settings.link.port, 7001);
  const fromEnvironment = loadSettings({
    schema: z.strictObject({ platform: platformSection }),
    env: { KINGCUPSILL_PLATFORM_URL: 'http://127.0.0.1:1' },
  });
  assert.deepEqual(fromEnvironment, {
    ok: true,
    settings: { platform: { url: 'http://127.0.0.1:1' } },
  });
});

const invalidSettings: [string, string, RegExp][] = [
  [
    'an unknown key',
    validSettings.replace('zone', 'zoen'),
    /\[process\] (zone|zoen): (missing|unknown) key/,
  ],
  ['an unknown section', `${validSettings}[extra]\na = 1\n`, /\[extra\]: unknown section/],
  ['a missing key', validSettings.replace(/zone.*/, ''), /\[process\] zone: missing key/],
  [
    'a missing section',
    validSettings.replace(/\[platform\][^]*/, ''),
    /\[platform\] url: missing key/,
  ],
  ['an invalid number', validSettings.replace('7000', '7e3x'), /\[link\] port: .*number/],
  ['a number out of range', validSettings.replace('7000', '70000'), /\[link\] port: /],
  [
    'an invalid boolean',
    validSettings.replace('= true', '= maybe'),
    /\[link\] allow_plain_tcp: .*boolean/,
  ],
  ['a key outside sections', `port = 1\n${validSettings}`, /key port is not in a section/],
  ['a short fleet key', validSettings.replace('0123456789abcdef', 'short'), /\[link\] fleet_key: /],
  [
    'an admin host without a token',
    `${validSettings}[admin]\nhost = 0.0.0.0\n`,
    /\[admin\] token: required/,
  ],
  [
    'a link host without TLS',
    validSettings.replace('allow_plain_tcp = true', 'host = 0.0.0.0'),
    /\[link\] host: 0\.0\.0\.0 isn't loopback/,
  ],
  [
    'a missing TLS file',
    validSettings.replace(
      '[platform]',
      'tls_key_file = /none\ntls_cert_file = /none\ntls_ca_file = /none\n[platform]',
    ),
    /\[link\] tls_key_file: can't read \/none/,
  ],
];

invalidSettings.forEach(([name, text, expected]) => {
  test(`${name} is reported in one line with section and key`, async () => {
    assert.match(await loadError(text), expected);
  });
});

test('an unknown key in the environment is reported with its variable', async () => {
  const message = await loadError(validSettings, { KINGCUPSILL_LINK_PROT: '1' });
  assert.equal(message, 'environment variable KINGCUPSILL_LINK_PROT: [link] prot: unknown key');
});

test('a missing file is reported with its path', () => {
  const file = join(directory, 'none.ini');
  const loaded = loadSettings({ schema, file, env: {} });
  assert.deepEqual(loaded, {
    ok: false,
    message: `${file}: settings file can't be read (ENOENT)`,
  });
});
