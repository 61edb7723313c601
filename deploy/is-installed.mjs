/**
 * Exits with 0 if `node_modules` of the working directory holds what its `package-lock.json` states, for this kind of machine;
 * otherwise writes the first difference to standard error and exits with 1. The times of files say nothing: folders may come from
 * another machine, another commit, or an installation that was broken off.
 */
import { execFile } from 'node:child_process';
import { access, readFile } from 'node:fs/promises';
import { promisify } from 'node:util';

const BUNDLER = 'node_modules/.bin/esbuild';

async function readJson(path) {
  return JSON.parse(await readFile(path, 'utf8'));
}

/** Throws if an installed package differs from its entry in the lock file. */
async function checkPackage(path, entry, installed) {
  if (entry.link) {
    await access(path);
    return;
  }
  if (installed === undefined && entry.optional) return;
  const { version } = await readJson(`${path}/package.json`);
  const isRecorded =
    installed?.version === entry.version && installed.integrity === entry.integrity;
  if (!isRecorded || version !== entry.version)
    throw new Error(`${path} isn't at version ${entry.version}`);
}

async function checkInstallation() {
  const { packages } = await readJson('package-lock.json');
  const { packages: installed } = await readJson('node_modules/.package-lock.json');
  const unknown = Object.keys(installed).find((path) => packages[path] === undefined);
  if (unknown !== undefined) throw new Error(`${unknown} isn't in the lock file`);
  const entries = Object.entries(packages).filter(([path]) => path.startsWith('node_modules/'));
  await Promise.all(entries.map(([path, entry]) => checkPackage(path, entry, installed[path])));
  await promisify(execFile)(BUNDLER, ['--version']);
}

try {
  await checkInstallation();
} catch (err) {
  process.stderr.write(`not installed: ${err.message}\n`);
  process.exitCode = 1;
}
