import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, test } from 'node:test';

import { drainBackend } from '../../src/index.js';
import { initialConfig, startTestFleet } from '../support/test-fleet.js';
import type { TestFleet } from '../support/test-fleet.js';
import { runBinary } from './run-binary.js';
import type { BinaryResult } from './run-binary.js';

let fleet: TestFleet;
let env: Record<string, string>;

const runCommand = (args: string, stdin?: string): Promise<BinaryResult> =>
  runBinary(args.split(' '), { env, stdin });
const parseOutput = ({ stdout }: BinaryResult) => JSON.parse(stdout) as Record<string, unknown>;
const drainW1 = () =>
  drainBackend(fleet.createContext('root-key'), { backend: 'w1', undo: false, reason: 'heat' });

beforeEach(async () => {
  fleet = await startTestFleet();
  env = { KINGCUPSILL_PLATFORM_URL: fleet.service.url, KINGCUPSILL_OPERATOR_KEY: 'root-key' };
});
afterEach(() => fleet.service.close());

test('a change prints its version, and a conflict prints the differences with exit code 3', async () => {
  const added = await runCommand(
    'account add school --share 2 --service batches --reason new --json',
  );
  assert.equal(added.code, 0, added.stderr);
  assert.equal(parseOutput(added).version, 2);
  await drainW1();
  const patch = JSON.stringify({ backends: { w1: { slots: 4 } } });
  const stale = await runCommand('config patch - --base-version 2 --reason more', patch);
  assert.equal(stale.code, 3);
  assert.match(stale.stderr, /made against version 2, the current version is 3/);
  assert.match(stale.stderr, /backends\.w1\.draining: \(none\) -> true/);
});

test('exits with code 2 on invalid arguments or settings', async () => {
  assert.equal((await runCommand('account add school --share 1')).code, 2);
  env = {};
  const missing = await runCommand('config get');
  assert.equal(missing.code, 2);
  assert.match(missing.stderr, /\[platform\] url/);
});

test('exits with code 5 during an outage', async () => {
  fleet.service.faults.status = 503;
  const outcome = await runCommand('config get --json');
  assert.equal(outcome.code, 5);
  assert.equal(parseOutput(outcome).code, 'unavailable');
});

test('config watch prints versions as they are accepted', async () => {
  const watching = runCommand('config watch --count 1 --json');
  while (!fleet.service.calls.includes('GET /v1/watch')) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  await drainW1();
  const { code, stdout } = await watching;
  assert.equal(code, 0);
  assert.equal((JSON.parse(stdout.split('\n')[0]!) as { reason: string }).reason, 'heat');
});

test('check validates a document without the platform', async () => {
  env = {};
  const document = { version: 1, accounts: {}, appliedPatches: [], ...initialConfig };
  assert.equal((await runCommand('check -', JSON.stringify(document))).code, 0);
  const invalid = await runCommand('check - --json', JSON.stringify({ ...document, services: {} }));
  assert.equal(invalid.code, 4);
  assert.deepEqual(parseOutput(invalid).problems, [
    { path: 'backends.w1.pool', message: 'no service uses pool "workshop"' },
  ]);
});

test('check validates edge settings and platform configurations, and names the invalid key or field', async () => {
  env = {};
  const file = join(await mkdtemp(join(tmpdir(), 'kingcupsill-check-')), 'edge.ini');
  const settings = [
    '[process]\nid = r\nzone = z',
    '[callers]\naddress = 127.0.0.1:1\nreadiness_address = 127.0.0.1:2',
    '[peers]\naddress = 127.0.0.1:3\n[admin]\naddress = 127.0.0.1:4',
    '[store]\naddress = 127.0.0.1:5\nheartbeat_ms = 1200\n[shutdown]\ngrace_s = 8',
    '[repeats]\nratio = 0.2\nburst = 50\nwindow_s = 10\n[shares]\nwindow_s = 4',
  ].join('\n');
  await writeFile(file, settings);
  assert.equal((await runCommand(`check ${file} --as edge-settings`)).code, 0);
  await writeFile(file, settings.replace('grace_s = 8', 'grace_s = soon'));
  const wrong = await runCommand(`check ${file} --as edge-settings --json`);
  assert.equal(wrong.code, 4);
  assert.match(String(parseOutput(wrong).message), /edge\.ini.*shutdown.*grace_s/s);
  const document = JSON.stringify({ version: 1, routes: 'none' });
  const invalid = await runCommand('check - --as platform-configuration --json', document);
  assert.equal(invalid.code, 4);
  assert.match(String(parseOutput(invalid).message), /field limits/);
});

/** State of a process that is one version behind. */
const state = {
  status: {
    version: 0,
    inForceForMs: 9000,
    newestVersion: 1,
    behindForMs: 1500,
    isWatcher: false,
  },
  config: { self: { id: 'r1', role: 'router' } },
};
const adminServer = createServer((req, res) => {
  if (req.headers.authorization !== 'Bearer t') res.writeHead(401).end();
  else if (req.url !== '/debug/state') res.writeHead(404).end();
  else res.end(JSON.stringify(state));
});
before(async () => {
  adminServer.listen(0, '127.0.0.1');
  await once(adminServer, 'listening');
});
after(() => adminServer.close());

test('status lists processes that are behind or unreachable, and dump shows the state', async () => {
  const address = `127.0.0.1:${(adminServer.address() as AddressInfo).port}`;
  env.KINGCUPSILL_FLEET_ADMIN_TOKEN = 't';
  const status = await runCommand(`status --admin ${address} --admin 127.0.0.1:1`);
  assert.equal(status.code, 0, status.stderr);
  assert.match(status.stdout, /r1 {2}router {2}version 0 {2}behind by 1, known for 1\.5 s/);
  assert.match(status.stdout, /127\.0\.0\.1:1 {2}not reachable/);
  assert.match(status.stdout, /0 of 2 processes have version 1 in force/);
  assert.equal((await runCommand(`status --admin ${address} --require-current`)).code, 1);
  const dump = await runCommand(`dump ${address} --json`);
  assert.deepEqual(parseOutput(dump), { ok: true, state });
});
