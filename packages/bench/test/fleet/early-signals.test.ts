import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

/** Node module that is loaded before the binary; prints how many modules are loaded when its first signal handler is installed. */
const PRINT_LOADED_MODULES = `data:text/javascript,${encodeURIComponent(`
  import { createRequire } from 'node:module';
  import { writeSync } from 'node:fs';
  const { cache } = createRequire(process.cwd() + '/');
  process.once('newListener', (signal) => {
    writeSync(2, JSON.stringify({ signal, modules: Object.keys(cache).length }));
  });
`)}`;

// Guards against: a signal ends a router or sidecar of the product's own deployment while its program is being loaded.
for (const name of ['router', 'sidecar']) {
  test(`the ${name} handles signals before its program is loaded`, async () => {
    const binary = fileURLToPath(new URL(`../../../${name}/dist/bin/${name}.js`, import.meta.url));
    const args = ['--import', PRINT_LOADED_MODULES, binary, '--version'];
    const { stdout, stderr } = await promisify(execFile)(process.execPath, args);
    assert.match(stdout, /\d+\.\d+\.\d+/);
    assert.deepEqual(JSON.parse(stderr), { signal: 'SIGHUP', modules: 0 });
  });
}
