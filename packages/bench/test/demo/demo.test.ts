import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const DEMO = fileURLToPath(new URL('../../dist/bin/demo.js', import.meta.url));

test('the demo starts its processes, gets only right answers and exits with code 0', async () => {
  // execFile rejects on a non-zero exit code.
  const { stdout } = await promisify(execFile)(process.execPath, [DEMO, '--once']);
  assert.match(stdout, /12 of 12 answers right, 12 runs at backend servers/);
});
