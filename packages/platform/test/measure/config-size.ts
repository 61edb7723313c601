/**
 * Measures the size in bytes of the configuration document at the target fleet size, and the CPU time of each operation on it.
 * Run: node --import tsx packages/platform/test/measure/config-size.ts [accounts] [backends]
 */
import { createHash } from 'node:crypto';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';

import {
  EMPTY_CONFIG,
  applyAcceptedPatch,
  applyPatch,
  createMergePatch,
  diffConfig,
  validateConfig,
} from '@kingcupsill/core';
import type { FleetConfig } from '@kingcupsill/core';

import { encodeSnapshot } from '../../src/index.js';

const ROUNDS = 15;
const SERVICES = 24;
const ZONES = 20;

const gunzipAsync = promisify(gunzip);

const digest = (text: string): string => createHash('sha256').update(text).digest('hex');

const createConfig = (accounts: number, backends: number): FleetConfig => {
  const config = structuredClone(EMPTY_CONFIG);
  for (let index = 0; index < SERVICES; index += 1) {
    config.services[`model-${index}`] = { kind: 'model', pool: `pool-${index}` };
  }
  for (let index = 0; index < accounts; index += 1) {
    const services = [0, 1, 2].map((offset) => `model-${(index + offset) % SERVICES}`);
    const share = 1 + (index % 5);
    config.accounts[`account-${index}`] = { share, services, keyHashes: [digest(`k${index}`)] };
  }
  for (let index = 0; index < backends; index += 1) {
    const zone = index % ZONES;
    config.backends[`engine-${index}`] = {
      pool: `pool-${index % SERVICES}`,
      zone: `zone-${zone}`,
      region: `region-${zone % 5}`,
      slots: 32,
      models: [`model-${index % SERVICES}`],
      checksFencing: true,
    };
  }
  config.operators.root = { keyHashes: [digest('root')], mayChange: ['*'] };
  return config;
};

const median = (values: number[]): number =>
  values.sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const measureCpuMs = async (step: () => unknown): Promise<number> => {
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const before = process.cpuUsage();
    await step();
    const { user, system } = process.cpuUsage(before);
    times.push((user + system) / 1000);
  }
  return Number(median(times).toFixed(2));
};

const [accounts = 4000, backends = 6400] = process.argv.slice(2).map(Number);
const config = createConfig(accounts, backends);
const patch = { accounts: { 'account-1': { share: 9 } } };
const request = { id: 'p', baseVersion: 0, patch, author: 'root', reason: 'measure' };
const applied = applyPatch(config, request);
if (!applied.ok) throw new Error(JSON.stringify(applied));
const compressed = await encodeSnapshot(config);
const text = JSON.stringify(config);

process.stdout.write(
  `${JSON.stringify({
    accounts,
    backends,
    jsonBytes: Buffer.byteLength(text),
    snapshotBytes: compressed.length,
    patchBytes: Buffer.byteLength(JSON.stringify(patch)),
    medianCpuMs: {
      encodeSnapshot: await measureCpuMs(() => encodeSnapshot(config)),
      decodeSnapshot: await measureCpuMs(
        async () => JSON.parse((await gunzipAsync(compressed)).toString()) as unknown,
      ),
      validateConfig: await measureCpuMs(() => validateConfig(config)),
      applyPatch: await measureCpuMs(() => applyPatch(config, request)),
      applyAcceptedPatch: await measureCpuMs(() =>
        applyAcceptedPatch(config, { version: 1, patch }),
      ),
      createMergePatch: await measureCpuMs(() => createMergePatch(applied.config, config)),
      diffConfig: await measureCpuMs(() => diffConfig(config, applied.config)),
    },
  })}\n`,
);
