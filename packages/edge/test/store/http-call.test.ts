import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { test } from 'node:test';
import { sendHttpCall } from '../../src/http-call.js';

const CALL = { agent: new Agent(), host: '127.0.0.1', port: 9, method: 'GET', path: '/' };

// Guards against a rejection, which ends the process, of a call that Node refuses to build.
test('a call that can not be built fails like one without an answer', async () => {
  const unbuildable = [{ port: 70_000 }, { path: '/two words' }, { host: 'two\nlines' }];
  for (const part of unbuildable) {
    const result = await sendHttpCall({ ...CALL, ...part, timeoutMs: 100, maxBytes: 10 });
    assert.equal(result.ok, false);
  }
});
