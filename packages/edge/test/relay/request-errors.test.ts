/** Guards against errors of one request that end the router with all other requests. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import { createStreamJoin } from '@kingcupsill/core/event-stream';
import { AttemptOutcome, RefusalCode } from '@kingcupsill/core/direct';
import type { DirectEffect } from '@kingcupsill/core/direct';
import { createExchanges } from '../../src/exchanges.js';
import type { Exchange } from '../../src/callers/exchange.js';
import { startAttempt } from '../../src/relay/attempt.js';
import { createServerConnections } from '../../src/relay/server-connections.js';
import { createRequestErrors } from '../../src/request-errors.js';
import { createDeployment, sampleDocument, waitUntil } from '../standins/deployment.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';
import { createServerStandin, sendAnswer } from '../standins/server-standin.js';

const placesOf = (lines: LoggedLine[]) =>
  lines.flatMap(({ event, fields }) => (event === 'request-error' ? fields.place : []));

test('answers a request that can not be sent as not run, and serves the others', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  const { call, logLines, servers, store } = deployment;
  const tenants = [
    { name: 't1', apiKeys: ['key-1'] },
    { name: 'two\nlines', apiKeys: ['key-2'] },
  ];
  store.put('config', 'main', sampleDocument(2, { tenants }));
  await waitUntil(
    async () => (await call('/any/1', { headers: { Credential: 'key-2' } })).status !== 401,
  );
  const arrivedBefore = servers[0]!.arrivals.length;
  const [odd, sound] = await Promise.all([
    call('/once/1', { method: 'POST', headers: { Credential: 'key-2' } }),
    call('/once/2', { method: 'POST' }),
  ]);
  await deployment.close();
  assert.deepEqual(
    [odd.status, JSON.parse(odd.body)],
    [500, { code: 'internal_error', ran: 'no' }],
  );
  assert.deepEqual([sound.status, sound.body], [200, 'answer']);
  assert.equal(servers[0]!.arrivals.length, arrivedBefore + 1);
  assert.ok(placesOf(logLines).includes('send'));
});

test('ends one attempt whose response can not be relayed', async (t) => {
  const server = await createServerStandin((arrival) => sendAnswer(arrival, 'id: 1\ndata: 1\n\n'));
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 100,
    responseBytes: 1024 * 1024,
  });
  t.after(() => {
    connections.close();
    server.close();
  });
  const errors: unknown[] = [];
  const outcome = await new Promise((resolve) => {
    startAttempt(
      connections,
      {
        method: 'GET',
        path: '/stream/1',
        headers: ['Host', 'a.example', 'Attempt-Id', 'a1'],
        body: Buffer.alloc(0),
        attemptId: 'a1',
        streaming: true,
        streamJoin: createStreamJoin({ isResumable: true, resumeAfter: undefined }),
        isResumed: false,
        host: '127.0.0.1',
        port: server.port,
        maxIdleMs: undefined,
        usedSockets: new Set(),
      },
      {
        isHeadSent: () => false,
        writeHead() {
          throw new Error('odd head');
        },
        write: () => true,
      },
      {
        onAnnounced: () => undefined,
        onBegun: () => undefined,
        onDelivered: () => undefined,
        onBodyEnded: () => undefined,
        onError: (err) => errors.push(err),
        onEnded: resolve,
      },
    );
  });
  assert.equal(outcome, AttemptOutcome.Unknown);
  assert.match(String(errors), /odd head/);
});

/** A response whose head can't be written the first time. */
function createFailingResponse() {
  const written: unknown[] = [];
  const res = {
    req: { complete: true },
    headersSent: false,
    on: () => undefined,
    writeHead: (status: number) => written.push(status),
    end: (body: string) => written.push(body),
    destroy: () => written.push('destroyed'),
  };
  return { res: res as unknown as ServerResponse, written };
}

test('answers a request whose response can not be written, and breaks off one whose refusal can not be', () => {
  const logLines: LoggedLine[] = [];
  const exchanges = createExchanges(() => undefined);
  const errors = createRequestErrors(
    { logger: createRecordingLogger(logLines), clock: () => 0 },
    { exchanges, metrics: { countRequestError: () => undefined } },
  );
  const refusal = { status: 503, code: RefusalCode.NoServer, ran: 'no', retryAfterMs: 1 } as const;
  const effects: DirectEffect[] = [
    { kind: 'finish', request: 'r' },
    { kind: 'refuse', request: 'r', refusal, decisionInputs: {} },
  ];
  const written = effects.map((effect) => {
    const failing = createFailingResponse();
    exchanges.add({ id: 'r', res: failing.res } as Exchange);
    assert.deepEqual(errors.handleEffect(new Error('odd'), effect), []);
    return failing.written;
  });
  assert.deepEqual(written, [[502, '{"code":"outcome_unknown","ran":"unknown"}'], ['destroyed']]);
  assert.deepEqual(placesOf(logLines), ['finish', 'refuse']);
  assert.equal(
    errors.handleEffect(new Error('odd'), { kind: 'read-streams' }),
    undefined,
    'belongs to no request',
  );
});
