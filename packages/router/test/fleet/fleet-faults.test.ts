import assert from 'node:assert/strict';
import { channel } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { test } from 'node:test';

import { expectedAnswer } from '@kingcupsill/standins';
import { request } from 'undici';

import { API_KEY, MODEL, waitUntil, withFleet } from './fleet.js';
import type { TestFleet } from './fleet.js';

const headers = { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' };

function sendChat({ url }: TestFleet, tokens: number, stream: boolean, signal?: AbortSignal) {
  const messages = [{ role: 'user', content: `[[tokens=${tokens}]] polish` }];
  const body = JSON.stringify({ model: MODEL, messages, stream });
  return request(`${url}/v1/chat/completions`, { method: 'POST', headers, body, signal });
}

async function readResponse(response: ReturnType<typeof request>) {
  const res = await response;
  return { status: res.statusCode, text: await res.body.text() };
}

/** Calls the plain service. `record` is not idempotent. */
function callShop({ url }: TestFleet, path: 'record' | 'lookup', workMs: number) {
  return readResponse(
    request(`${url}/services/shop/${path}`, {
      method: path === 'record' ? 'POST' : 'GET',
      headers: { ...headers, 'x-standin-work-ms': String(workMs) },
    }),
  );
}

interface Refusal {
  error: { code: string; ran: string };
}

const parseRefusal = (text: string) => (JSON.parse(text) as Refusal).error;

function contentOfStream(stream: string): string {
  return stream
    .split('\n\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as Chunk)
    .map(({ choices }) => choices[0]?.delta.content ?? '')
    .join('');
}

interface Chunk {
  choices: { delta: { content?: string } }[];
}

/** Runs a test with the sockets of all attempts that routers send to sidecars meanwhile. */
async function withAttemptSockets(runTest: (sockets: Socket[]) => Promise<void>): Promise<void> {
  const requestStart = channel('http.server.request.start');
  const sockets: Socket[] = [];
  const onRequest = (message: unknown) => {
    const { request: req, socket } = message as { request: IncomingMessage; socket: Socket };
    if (req.method === 'POST' && /^\/attempts\/[^/]+$/.test(req.url ?? '')) sockets.push(socket);
  };
  requestStart.subscribe(onRequest);
  try {
    await runTest(sockets);
  } finally {
    requestStart.unsubscribe(onRequest);
  }
}

const tokensOf = ({ engine }: TestFleet) => engine.journal()[0]?.tokens ?? 0;

[true, false].forEach((stream) => {
  const form = stream ? 'streamed' : 'non-streamed';
  test(`delivers a ${form} response despite a lost connection between router and sidecar, and runs the request once`, () =>
    withFleet((fleet) =>
      withAttemptSockets(async (sockets) => {
        const answer = readResponse(sendChat(fleet, 120, stream));
        await waitUntil(() => tokensOf(fleet) > 10);
        sockets.forEach((socket) => socket.destroy());
        const { status, text } = await answer;
        assert.equal(status, 200);
        const expected = expectedAnswer('[[tokens=120]] polish', 120);
        if (stream) {
          assert.equal(contentOfStream(text), expected);
          assert.ok(text.endsWith('data: [DONE]\n\n'));
        } else {
          const completion = JSON.parse(text) as { choices: { message: { content: string } }[] };
          assert.equal(completion.choices[0]?.message.content, expected);
        }
        assert.equal(fleet.engine.journal().length, 1);
      }),
    ));
});

test('delivers a stream despite lost connections to the engine and between router and sidecar', () =>
  withFleet((fleet) =>
    withAttemptSockets(async (sockets) => {
      fleet.engine.faults.add({ kind: 'cut-stream', durationMs: 60_000, after: 30 });
      const answer = readResponse(sendChat(fleet, 120, true));
      await waitUntil(() => tokensOf(fleet) > 10);
      sockets.forEach((socket) => socket.destroy());
      const { text } = await answer;
      assert.equal(contentOfStream(text), expectedAnswer('[[tokens=120]] polish', 120));
      assert.ok(text.endsWith('data: [DONE]\n\n'));
      assert.equal(fleet.engine.journal().length, 1);
    }),
  ));

test('runs a non-idempotent request once despite a lost connection between router and sidecar', () =>
  withFleet((fleet) =>
    withAttemptSockets(async (sockets) => {
      const answer = callShop(fleet, 'record', 300);
      await waitUntil(() => fleet.app.journal().length === 1);
      sockets.forEach((socket) => socket.destroy());
      assert.equal((await answer).status, 200);
      assert.equal(fleet.app.journal().length, 1);
    }),
  ));

test('fails a non-idempotent request with outcome_unknown when its sidecar stops', () =>
  withFleet(async (fleet) => {
    const answer = callShop(fleet, 'record', 500);
    await waitUntil(() => fleet.app.journal().length === 1);
    await fleet.sidecars.w1.close();
    const { status, text } = await answer;
    assert.equal(status, 502);
    assert.deepEqual(
      [parseRefusal(text).code, parseRefusal(text).ran],
      ['outcome_unknown', 'unknown'],
    );
    assert.equal(fleet.app.journal().length, 1);
  }));

test('retries an idempotent request when its sidecar restarts', () =>
  withFleet(async (fleet) => {
    const answer = callShop(fleet, 'lookup', 500);
    await waitUntil(() => fleet.app.journal().length === 1);
    await fleet.sidecars.w1.close();
    fleet.sidecars.w1 = await fleet.startShopSidecar();
    const { status, text } = await answer;
    assert.equal(status, 200);
    assert.match(text, /lookup/);
    assert.equal(fleet.app.journal().length, 2);
  }));

test('reports an error to the caller when a sidecar stops after the first bytes of a stream', () =>
  withFleet(async (fleet) => {
    const res = await sendChat(fleet, 2000, true);
    await waitUntil(() => tokensOf(fleet) > 10);
    await fleet.sidecars.e1.close();
    let text = '';
    await assert.rejects(async () => {
      for await (const chunk of res.body) text += String(chunk);
    });
    assert.match(text, /"code":"outcome_unknown"/);
    assert.ok(!text.includes('[DONE]'));
  }));

test('cancels the request in the engine when its caller disconnects', () =>
  withFleet(async (fleet) => {
    const controller = new AbortController();
    const res = await sendChat(fleet, 5000, true, controller.signal);
    res.body.on('error', () => undefined);
    await waitUntil(() => tokensOf(fleet) > 10);
    controller.abort();
    await waitUntil(() => fleet.engine.journal()[0]?.outcome === 'cancelled');
    assert.equal((await readResponse(sendChat(fleet, 5, false))).status, 200);
  }));

test('completes open requests at router shutdown and refuses new ones as not run', () =>
  withFleet(async (fleet) => {
    const openRequests = [readResponse(sendChat(fleet, 100, true)), callShop(fleet, 'record', 300)];
    await waitUntil(() => tokensOf(fleet) > 0 && fleet.app.journal().length === 1);
    const draining = fleet.router.drain().then(() => fleet.router.close());
    const refused = await readResponse(sendChat(fleet, 5, false)).catch(
      (err: { code: string }) => err.code,
    );
    if (typeof refused === 'string') assert.equal(refused, 'ECONNREFUSED');
    else assert.deepEqual([refused.status, parseRefusal(refused.text).ran], [503, 'no']);
    const responses = await Promise.all(openRequests);
    assert.deepEqual(
      responses.map(({ status }) => status),
      [200, 200],
    );
    assert.ok(responses[0]?.text.endsWith('data: [DONE]\n\n'));
    await draining;
  }));

test('stops waiting for open requests at the drain deadline of the router', () =>
  withFleet(
    async (fleet) => {
      const openRequest = callShop(fleet, 'record', 60_000).catch((err: Error) => err);
      await waitUntil(() => fleet.app.journal().length === 1);
      await fleet.router.drain();
      assert.equal(fleet.app.journal()[0]?.outcome, 'running');
      await fleet.router.close();
      assert.ok((await openRequest) instanceof Error);
    },
    { SHUTDOWN_DRAIN_DEADLINE_MS: '50' },
  ));

test('completes the response of a running attempt at sidecar shutdown', () =>
  withFleet(async (fleet) => {
    const openRequest = readResponse(sendChat(fleet, 150, true));
    await waitUntil(() => tokensOf(fleet) > 10);
    await fleet.sidecars.e1.drain();
    await fleet.sidecars.e1.close();
    const { text } = await openRequest;
    assert.equal(contentOfStream(text), expectedAnswer('[[tokens=150]] polish', 150));
    assert.ok(text.endsWith('data: [DONE]\n\n'));
    assert.equal(fleet.engine.journal().length, 1);
  }));

test('completes running requests of a draining backend server and sends it no new ones', () =>
  withFleet(async (fleet) => {
    const running = readResponse(sendChat(fleet, 150, true));
    await waitUntil(() => tokensOf(fleet) > 10);
    await fleet.patchConfig({ backends: { e1: { draining: true } } });
    await waitUntil(async () => (await probeNewRequest(fleet)) === 'waits');
    assert.ok((await running).text.endsWith('data: [DONE]\n\n'));
    const runs = fleet.engine.journal().length;
    const waiting = readResponse(sendChat(fleet, 5, false));
    await fleet.patchConfig({ backends: { e1: { draining: null } } });
    assert.equal((await waiting).status, 200);
    assert.ok(fleet.engine.journal().length > runs);
  }));

/** Sends a request and returns whether it is answered within 300 ms. Cancels it otherwise. */
async function probeNewRequest(fleet: TestFleet): Promise<'answered' | 'waits'> {
  const signal = AbortSignal.timeout(300);
  return readResponse(sendChat(fleet, 1, false, signal)).then(
    () => 'answered' as const,
    () => 'waits' as const,
  );
}
