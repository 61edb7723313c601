import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createTokenVerifier, deriveAttemptToken, listenHttp } from '@kingcupsill/fleet';
import { request } from 'undici';

import { createAttemptRegistry } from '../../src/attempts/attempt-registry.js';
import { createAttemptApp } from '../../src/attempts/attempt-app.js';

const CURRENT = 'the current fleet key';
const PREVIOUS = 'the previous fleet key';

/** Returns the HTTP status of an outcome query with the token. */
async function statusFor(fleetKeys: string[], token: string): Promise<number> {
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

test('the attempts API accepts only tokens of the current and the previous fleet key', async () => {
  const bothKeys = [CURRENT, PREVIOUS];
  assert.equal(await statusFor(bothKeys, deriveAttemptToken(CURRENT)), 200);
  assert.equal(await statusFor(bothKeys, deriveAttemptToken(PREVIOUS)), 200);
  assert.equal(await statusFor(bothKeys, deriveAttemptToken('another fleet key')), 401);
  assert.equal(await statusFor(bothKeys, CURRENT), 401);
  assert.equal(await statusFor(bothKeys, ''), 401);
  assert.equal(await statusFor([CURRENT], deriveAttemptToken(PREVIOUS)), 401);
});
