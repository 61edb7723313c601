import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const DEMO = fileURLToPath(new URL('../../dist/bin/demo.js', import.meta.url));

test('the demo starts its processes, gets every answer right and ends', async () => {
  // A non-zero exit code rejects.
  const { stdout } = await promisify(execFile)(process.execPath, [DEMO, '--once']);
  assert.match(stdout, /12 of 12 answers right, 12 runs at backend servers/);
});
