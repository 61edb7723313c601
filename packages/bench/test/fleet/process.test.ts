import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { formatIni, patchConfig, startProcess } from '../../src/fleet/index.js';
import type { FleetProcess } from '../../src/fleet/index.js';
import { createConfigDocument } from '../../src/fleet/config-document.js';
import { writeConfig } from '../../src/fleet/platform-admin.js';
import { backendSpec, platformSpec } from '../../src/fleet/specs.js';
import { DEMO_TOPOLOGY } from '../../src/demo/topology.js';
import { createLoadClient } from '../../src/load/index.js';
import type { LoadClient } from '../../src/load/index.js';
import { readJournals } from '../../src/observe/index.js';

async function inDirectory(job: (directory: string) => Promise<void>) {
  const directory = await mkdtemp(join(tmpdir(), 'bench-test-'));
  await job(directory).finally(() => rm(directory, { recursive: true, force: true }));
}

const contextIn = (directory: string) => ({ topology: DEMO_TOPOLOGY, seed: 1, directory });

const ask = (client: LoadClient, engine: FleetProcess, id: string) =>
  client.send(
    {
      id,
      logicalId: id,
      atMs: 0,
      account: 'a',
      routerPosition: 0,
      call: { kind: 'chat-stream', service: 'optics-7b', promptChars: 60, answerTokens: 3 },
    },
    { router: '', url: engine.url, apiKey: '', pool: '' },
  );

test('an engine answers, is killed, and comes back on its port', async () => {
  await inDirectory(async (directory) => {
    const engine = await startProcess(
      backendSpec(contextIn(directory), DEMO_TOPOLOGY.backends[0]!),
    );
    const client = createLoadClient();
    try {
      const first = await ask(client, engine, 'first');
      assert.equal(first.answer, 'right');
      const runs = await readJournals({ backends: [engine] });
      assert.deepEqual(
        runs.map(({ id, backend }) => [id, backend]),
        [['first', 'engine-1']],
      );

      const { url, pid } = engine;
      assert.deepEqual(await engine.kill(), { code: null, signal: 'SIGKILL' });
      assert.equal(engine.pid, undefined);
      assert.equal((await ask(client, engine, 'second')).outcome, 'failed');
      await engine.restart();
      assert.equal(engine.url, url);
      assert.notEqual(engine.pid, pid);
      assert.equal((await ask(client, engine, 'third')).answer, 'right');
      assert.deepEqual(await engine.drain(), { code: 0, signal: null });
    } finally {
      await client.close();
      await engine.kill();
    }
  });
});

test('the configuration is patched version by version', async () => {
  await inDirectory(async (directory) => {
    const platform = await startProcess(platformSpec(contextIn(directory)));
    const draining = (value: boolean) =>
      patchConfig(platform, { backends: { 'engine-1': { draining: value } } });
    try {
      await writeConfig(platform, createConfigDocument(DEMO_TOPOLOGY));
      assert.equal(await draining(true), 2);
      assert.equal(await draining(false), 3);
      await assert.rejects(patchConfig(platform, { nothing: 1 }), /patch not accepted/);
    } finally {
      await platform.kill();
    }
  });
});

test('a process that ends at its start rejects with its own words', async () => {
  await inDirectory(async (directory) => {
    const spec = backendSpec(contextIn(directory), DEMO_TOPOLOGY.backends[0]!);
    const broken = { ...spec, settings: { standin: { kind: 'nothing' } } };
    await assert.rejects(startProcess(broken), /engine-1 ended at start \(2\): .*kind/s);
  });
});

test('settings become INI text', () => {
  assert.equal(
    formatIni({ standin: { kind: 'app', port: 0 }, app: { workers: 2 } }),
    '[standin]\nkind = app\nport = 0\n\n[app]\nworkers = 2\n',
  );
});
