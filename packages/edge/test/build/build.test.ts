/** Guards against a build that fails or is stale beside folders of another machine, another commit or a broken-off installation. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import {
  cp,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  symlink,
  utimes,
  writeFile,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const execute = promisify(execFile);
const EXECUTABLE = 0o755;
const RUNNING_BUNDLER = '#!/bin/sh\nexit 0\n';
/** The beginning of a binary of another architecture. */
const FOREIGN_BUNDLER = '\x7fELF\x02\x01\x01';
/** Sources that are older than any output. */
const OLD_TIME = new Date('2001-01-01');

async function withFolder(run: (folder: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'build-'));
  try {
    await run(folder);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

async function writeJson(file: string, value: unknown): Promise<void> {
  await writeFile(file, JSON.stringify(value));
}

/** Writes a lock file and what `npm ci` installs for it. */
async function install(folder: string): Promise<void> {
  const packages = {
    'node_modules/a': { version: '1.0.0', integrity: 'sha512-a' },
    'node_modules/native-arm64': { version: '1.0.0', integrity: 'sha512-n', optional: true },
  };
  await mkdir(join(folder, 'node_modules/a'), { recursive: true });
  await mkdir(join(folder, 'node_modules/.bin'));
  await writeJson(join(folder, 'package-lock.json'), { packages: { '': {}, ...packages } });
  await writeJson(join(folder, 'node_modules/.package-lock.json'), {
    packages: { 'node_modules/a': packages['node_modules/a'] },
  });
  await writeJson(join(folder, 'node_modules/a/package.json'), { version: '1.0.0' });
  const bundler = join(folder, 'node_modules/.bin/esbuild');
  await writeFile(bundler, RUNNING_BUNDLER, { mode: EXECUTABLE });
}

/** Rejects if the check finds that the packages have to be installed. */
async function checkInstalled(cwd: string): Promise<void> {
  await execute(process.execPath, [join(ROOT, 'deploy/is-installed.mjs')], { cwd });
}

/** Changes after which the packages have to be installed again, by name. */
const CHANGES: Record<string, (folder: string) => Promise<void>> = {
  'no installation': (folder) => rm(join(folder, 'node_modules'), { recursive: true }),
  'an installation that was broken off': (folder) =>
    rm(join(folder, 'node_modules/.package-lock.json')),
  'a missing package': (folder) => rm(join(folder, 'node_modules/a'), { recursive: true }),
  'packages of another commit': (folder) =>
    writeJson(join(folder, 'package-lock.json'), {
      packages: { 'node_modules/a': { version: '1.1.0', integrity: 'sha512-b' } },
    }),
  'a package that the lock file no longer has': (folder) =>
    writeJson(join(folder, 'package-lock.json'), { packages: {} }),
  'a binary of another architecture': (folder) =>
    writeFile(join(folder, 'node_modules/.bin/esbuild'), FOREIGN_BUNDLER),
};

for (const [name, change] of Object.entries(CHANGES)) {
  test(`${name}: the packages are installed again, whatever the times of the files`, async () => {
    await withFolder(async (folder) => {
      await install(folder);
      await change(folder);
      await utimes(join(folder, 'package-lock.json'), OLD_TIME, OLD_TIME);
      await assert.rejects(checkInstalled(folder), { code: 1, stderr: /^not installed: ./ });
    });
  });
}

test('a complete installation is kept, although the lock file is newer', async () => {
  await withFolder(async (folder) => {
    await install(folder);
    const nowS = Date.now() / 1000;
    await utimes(join(folder, 'package-lock.json'), nowS, nowS);
    await checkInstalled(folder);
  });
});

test('the bundle is made from the sources, although compiled files of another commit are newer', async () => {
  await withFolder(async (folder) => {
    const files = ['package.json', 'tsconfig.base.json', 'tsconfig.bundle.json', 'platform'];
    const packages = ['core', 'runtime', 'edge'].map((name) => `packages/${name}`);
    const filter = (path: string) => !path.includes('node_modules') && !path.endsWith('/test');
    const options = { recursive: true, preserveTimestamps: true, filter };
    await mkdir(join(folder, 'packages'));
    for (const path of [...files, ...packages]) {
      await cp(join(ROOT, path), join(folder, path), options);
    }
    await symlink(join(ROOT, 'node_modules'), join(folder, 'node_modules'));
    const source = join(folder, 'packages/edge/src/edge.ts');
    const text = await readFile(source, 'utf8');
    await writeFile(source, text.replaceAll("'listening'", "'listening-of-this-commit'"));
    await utimes(source, OLD_TIME, OLD_TIME);
    await execute('npm', ['run', '--silent', 'bundle'], { cwd: folder });
    const outputs = await readdir(join(folder, 'target'));
    const bundles = await Promise.all(
      outputs.map((name) => readFile(join(folder, 'target', name), 'utf8')),
    );
    assert.ok(bundles.some((bundle) => bundle.includes('listening-of-this-commit')));
  });
});
