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

const valid = `
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

async function messageOf(text: string, env: Record<string, string> = {}): Promise<string> {
  const loaded = await load(text, env);
  assert.ok(!loaded.ok);
  assert.ok(!loaded.message.includes('\n'));
  return loaded.message;
}

test('text becomes typed values, keys become camel case, defaults are filled in', async () => {
  const loaded = await load(valid);
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

test('the environment overrides the file and can stand in for it', async () => {
  const loaded = await load(valid, { KINGCUPSILL_LINK_PORT: '7001', KINGCUPSILL_BENCH_SEED: '1' });
  assert.ok(loaded.ok);
  assert.equal(loaded.settings.link.port, 7001);
  const alone = loadSettings({
    schema: z.strictObject({ platform: platformSection }),
    env: { KINGCUPSILL_PLATFORM_URL: 'http://127.0.0.1:1' },
  });
  assert.deepEqual(alone, { ok: true, settings: { platform: { url: 'http://127.0.0.1:1' } } });
});

const faults: [string, string, RegExp][] = [
  [
    'an unknown key',
    valid.replace('zone', 'zoen'),
    /\[process\] (zone|zoen): (missing|unknown) key/,
  ],
  ['an unknown section', `${valid}[extra]\na = 1\n`, /\[extra\]: unknown section/],
  ['a missing key', valid.replace(/zone.*/, ''), /\[process\] zone: missing key/],
  ['a missing section', valid.replace(/\[platform\][^]*/, ''), /\[platform\] url: missing key/],
  ['a number that is none', valid.replace('7000', '7e3x'), /\[link\] port: .*number/],
  ['a number out of range', valid.replace('7000', '70000'), /\[link\] port: /],
  [
    'a boolean that is none',
    valid.replace('= true', '= maybe'),
    /\[link\] allow_plain_tcp: .*boolean/,
  ],
  ['a key outside of sections', `port = 1\n${valid}`, /key port stands outside of any section/],
  ['a short fleet key', valid.replace('0123456789abcdef', 'short'), /\[link\] fleet_key: /],
  ['an admin host without token', `${valid}[admin]\nhost = 0.0.0.0\n`, /\[admin\] token: required/],
  [
    'a link host without TLS',
    valid.replace('allow_plain_tcp = true', 'host = 0.0.0.0'),
    /\[link\] host: 0\.0\.0\.0 isn't loopback/,
  ],
  [
    'TLS files that are not there',
    valid.replace(
      '[platform]',
      'tls_key_file = /none\ntls_cert_file = /none\ntls_ca_file = /none\n[platform]',
    ),
    /\[link\] tls_key_file: can't read \/none/,
  ],
];

faults.forEach(([name, text, expected]) => {
  test(`${name} gives one line that names section and key`, async () => {
    assert.match(await messageOf(text), expected);
  });
});

test('an unknown key in the environment is named with its variable', async () => {
  const message = await messageOf(valid, { KINGCUPSILL_LINK_PROT: '1' });
  assert.equal(message, 'environment variable KINGCUPSILL_LINK_PROT: [link] prot: unknown key');
});

test('a missing file is named', () => {
  const file = join(directory, 'none.ini');
  const loaded = loadSettings({ schema, file, env: {} });
  assert.deepEqual(loaded, {
    ok: false,
    message: `${file}: settings file can't be read (ENOENT)`,
  });
});
