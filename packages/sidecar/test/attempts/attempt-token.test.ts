import assert from 'node:assert/strict';
import { test } from 'node:test';

import { deriveAttemptToken, createTokenVerifier, listenHttp } from '@kingcupsill/fleet';
import { request } from 'undici';

import { createAttemptRegistry } from '../../src/attempts/attempt-registry.js';
import { createAttemptApp } from '../../src/attempts/attempt-app.js';

const PRESENT = 'the present fleet key';
const PREVIOUS = 'the previous fleet key';

async function statusWith(fleetKeys: string[], token: string): Promise<number> {
  const registry = createAttemptRegistry();
  const app = createAttemptApp({
    registry,
    dispatch: (event) => {
      if (event.kind === 'outcome-asked') registry.resolveOutcomeQuery(event.queryId, 'barred');
    },
    clock: () => 0,
    isValidToken: createTokenVerifier(fleetKeys),
    incarnation: 's',
    maxBodyBytes: 1000,
  });
  app.silent = true;
  const server = await listenHttp(app, '127.0.0.1', 0);
  const url = `http://127.0.0.1:${server.port}/attempts/r.1/outcome`;
  const res = await request(url, { method: 'POST', headers: { 'kc-token': token } });
  await res.body.dump();
  await server.close();
  return res.statusCode;
}

test('the attempts interface accepts the tokens of both fleet keys and nothing else', async () => {
  const both = [PRESENT, PREVIOUS];
  assert.equal(await statusWith(both, deriveAttemptToken(PRESENT)), 200);
  assert.equal(await statusWith(both, deriveAttemptToken(PREVIOUS)), 200);
  assert.equal(await statusWith(both, deriveAttemptToken('another fleet key')), 401);
  assert.equal(await statusWith(both, PRESENT), 401);
  assert.equal(await statusWith(both, ''), 401);
  assert.equal(await statusWith([PRESENT], deriveAttemptToken(PREVIOUS)), 401);
});
