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

async function withTemporaryDirectory(callback: (directory: string) => Promise<void>) {
  const directory = await mkdtemp(join(tmpdir(), 'bench-test-'));
  await callback(directory).finally(() => rm(directory, { recursive: true, force: true }));
}

const createContext = (directory: string) => ({ topology: DEMO_TOPOLOGY, seed: 1, directory });

const sendChat = (client: LoadClient, engine: FleetProcess, id: string) =>
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

test('a killed engine restarts on the same port and answers again', async () => {
  await withTemporaryDirectory(async (directory) => {
    const engine = await startProcess(
      backendSpec(createContext(directory), DEMO_TOPOLOGY.backends[0]!),
    );
    const client = createLoadClient();
    try {
      const first = await sendChat(client, engine, 'first');
      assert.equal(first.answer, 'right');
      const runs = await readJournals({ backends: [engine] });
      assert.deepEqual(
        runs.map(({ id, backend }) => [id, backend]),
        [['first', 'engine-1']],
      );

      const { url, pid } = engine;
      assert.deepEqual(await engine.kill(), { code: null, signal: 'SIGKILL' });
      assert.equal(engine.pid, undefined);
      assert.equal((await sendChat(client, engine, 'second')).outcome, 'failed');
      await engine.restart();
      assert.equal(engine.url, url);
      assert.notEqual(engine.pid, pid);
      assert.equal((await sendChat(client, engine, 'third')).answer, 'right');
      assert.deepEqual(await engine.drain(), { code: 0, signal: null });
    } finally {
      await client.close();
      await engine.kill();
    }
  });
});

test('each configuration patch creates the next version', async () => {
  await withTemporaryDirectory(async (directory) => {
    const platform = await startProcess(platformSpec(createContext(directory)));
    const setDraining = (value: boolean) =>
      patchConfig(platform, { backends: { 'engine-1': { draining: value } } });
    try {
      await writeConfig(platform, createConfigDocument(DEMO_TOPOLOGY));
      assert.equal(await setDraining(true), 2);
      assert.equal(await setDraining(false), 3);
      await assert.rejects(patchConfig(platform, { nothing: 1 }), /configuration patch rejected/);
    } finally {
      await platform.kill();
    }
  });
});

test('startProcess rejects with the standard error of a process that exits during startup', async () => {
  await withTemporaryDirectory(async (directory) => {
    const spec = backendSpec(createContext(directory), DEMO_TOPOLOGY.backends[0]!);
    const invalidSpec = { ...spec, settings: { standin: { kind: 'nothing' } } };
    await assert.rejects(
      startProcess(invalidSpec),
      /engine-1 exited during startup \(2\): .*kind/s,
    );
  });
});

test('settings are formatted as INI text', () => {
  assert.equal(
    formatIni({ standin: { kind: 'app', port: 0 }, app: { workers: 2 } }),
    '[standin]\nkind = app\nport = 0\n\n[app]\nworkers = 2\n',
  );
});
