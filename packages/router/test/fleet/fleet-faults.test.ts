import assert from 'node:assert/strict';
import { channel } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { test } from 'node:test';

import { expectedAnswer } from '@kingcupsill/standins';
import { request } from 'undici';

import { API_KEY, MODEL, until, withFleet } from './fleet.js';
import type { TestFleet } from './fleet.js';

const headers = { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' };

function chat({ url }: TestFleet, tokens: number, stream: boolean, signal?: AbortSignal) {
  const messages = [{ role: 'user', content: `[[tokens=${tokens}]] polish` }];
  const body = JSON.stringify({ model: MODEL, messages, stream });
  return request(`${url}/v1/chat/completions`, { method: 'POST', headers, body, signal });
}

async function answerOf(sent: ReturnType<typeof request>) {
  const res = await sent;
  return { status: res.statusCode, text: await res.body.text() };
}

/** Calls the plain service; `record` must not run twice. */
function shop({ url }: TestFleet, path: 'record' | 'lookup', workMs: number) {
  return answerOf(
    request(`${url}/services/shop/${path}`, {
      method: path === 'record' ? 'POST' : 'GET',
      headers: { ...headers, 'x-standin-work-ms': String(workMs) },
    }),
  );
}

interface Refusal {
  error: { code: string; ran: string };
}

const refusalOf = (text: string) => (JSON.parse(text) as Refusal).error;

function contentOf(stream: string): string {
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

/** Connections over which routers sent attempts to sidecars, while `work` runs. */
async function watchAttempts(work: (sockets: Socket[]) => Promise<void>): Promise<void> {
  const started = channel('http.server.request.start');
  const sockets: Socket[] = [];
  const note = (message: unknown) => {
    const { request: req, socket } = message as { request: IncomingMessage; socket: Socket };
    if (req.method === 'POST' && /^\/attempts\/[^/]+$/.test(req.url ?? '')) sockets.push(socket);
  };
  started.subscribe(note);
  try {
    await work(sockets);
  } finally {
    started.unsubscribe(note);
  }
}

const tokensOf = ({ engine }: TestFleet) => engine.journal()[0]?.tokens ?? 0;

[true, false].forEach((stream) => {
  const form = stream ? 'streamed' : 'whole';
  test(`a ${form} answer survives a cut between router and sidecar, and runs once`, () =>
    withFleet((fleet) =>
      watchAttempts(async (sockets) => {
        const answer = answerOf(chat(fleet, 120, stream));
        await until(() => tokensOf(fleet) > 10);
        sockets.forEach((socket) => socket.destroy());
        const { status, text } = await answer;
        assert.equal(status, 200);
        const expected = expectedAnswer('[[tokens=120]] polish', 120);
        if (stream) {
          assert.equal(contentOf(text), expected);
          assert.ok(text.endsWith('data: [DONE]\n\n'));
        } else {
          const whole = JSON.parse(text) as { choices: { message: { content: string } }[] };
          assert.equal(whole.choices[0]?.message.content, expected);
        }
        assert.equal(fleet.engine.journal().length, 1);
      }),
    ));
});

test('a stream survives a cut at the engine and another between router and sidecar', () =>
  withFleet((fleet) =>
    watchAttempts(async (sockets) => {
      fleet.engine.faults.add({ kind: 'cut-stream', durationMs: 60_000, after: 30 });
      const answer = answerOf(chat(fleet, 120, true));
      await until(() => tokensOf(fleet) > 10);
      sockets.forEach((socket) => socket.destroy());
      const { text } = await answer;
      assert.equal(contentOf(text), expectedAnswer('[[tokens=120]] polish', 120));
      assert.ok(text.endsWith('data: [DONE]\n\n'));
      assert.equal(fleet.engine.journal().length, 1);
    }),
  ));

test('a request that must not run twice survives a cut between router and sidecar', () =>
  withFleet((fleet) =>
    watchAttempts(async (sockets) => {
      const answer = shop(fleet, 'record', 300);
      await until(() => fleet.app.journal().length === 1);
      sockets.forEach((socket) => socket.destroy());
      assert.equal((await answer).status, 200);
      assert.equal(fleet.app.journal().length, 1);
    }),
  ));

test('when a sidecar dies, a request that must not run twice ends with outcome_unknown', () =>
  withFleet(async (fleet) => {
    const answer = shop(fleet, 'record', 500);
    await until(() => fleet.app.journal().length === 1);
    await fleet.sidecars.w1.close();
    const { status, text } = await answer;
    assert.equal(status, 502);
    assert.deepEqual([refusalOf(text).code, refusalOf(text).ran], ['outcome_unknown', 'unknown']);
    assert.equal(fleet.app.journal().length, 1);
  }));

test('when a sidecar dies and comes back, an idempotent request is retried', () =>
  withFleet(async (fleet) => {
    const answer = shop(fleet, 'lookup', 500);
    await until(() => fleet.app.journal().length === 1);
    await fleet.sidecars.w1.close();
    fleet.sidecars.w1 = await fleet.startShopSidecar();
    const { status, text } = await answer;
    assert.equal(status, 200);
    assert.match(text, /lookup/);
    assert.equal(fleet.app.journal().length, 2);
  }));

test('when a sidecar dies after the first bytes of a stream, the caller sees the break', () =>
  withFleet(async (fleet) => {
    const res = await chat(fleet, 2000, true);
    await until(() => tokensOf(fleet) > 10);
    await fleet.sidecars.e1.close();
    let text = '';
    await assert.rejects(async () => {
      for await (const chunk of res.body) text += String(chunk);
    });
    assert.match(text, /"code":"outcome_unknown"/);
    assert.ok(!text.includes('[DONE]'));
  }));

test('a caller that leaves frees its place in the engine', () =>
  withFleet(async (fleet) => {
    const controller = new AbortController();
    const res = await chat(fleet, 5000, true, controller.signal);
    res.body.on('error', () => undefined);
    await until(() => tokensOf(fleet) > 10);
    controller.abort();
    await until(() => fleet.engine.journal()[0]?.outcome === 'cancelled');
    assert.equal((await answerOf(chat(fleet, 5, false))).status, 200);
  }));

test('a router that shuts down ends what it holds and refuses the rest as not run', () =>
  withFleet(async (fleet) => {
    const held = [answerOf(chat(fleet, 100, true)), shop(fleet, 'record', 300)];
    await until(() => tokensOf(fleet) > 0 && fleet.app.journal().length === 1);
    const draining = fleet.router.drain().then(() => fleet.router.close());
    const late = await answerOf(chat(fleet, 5, false)).catch((err: { code: string }) => err.code);
    if (typeof late === 'string') assert.equal(late, 'ECONNREFUSED');
    else assert.deepEqual([late.status, refusalOf(late.text).ran], [503, 'no']);
    const answers = await Promise.all(held);
    assert.deepEqual(
      answers.map(({ status }) => status),
      [200, 200],
    );
    assert.ok(answers[0]?.text.endsWith('data: [DONE]\n\n'));
    await draining;
  }));

test('a router waits for what it holds no longer than its drain deadline', () =>
  withFleet(
    async (fleet) => {
      const held = shop(fleet, 'record', 60_000).catch((err: Error) => err);
      await until(() => fleet.app.journal().length === 1);
      await fleet.router.drain();
      assert.equal(fleet.app.journal()[0]?.outcome, 'running');
      await fleet.router.close();
      assert.ok((await held) instanceof Error);
    },
    { SHUTDOWN_DRAIN_DEADLINE_MS: '50' },
  ));

test('a sidecar that shuts down ends what it runs, to the last byte', () =>
  withFleet(async (fleet) => {
    const held = answerOf(chat(fleet, 150, true));
    await until(() => tokensOf(fleet) > 10);
    await fleet.sidecars.e1.drain();
    await fleet.sidecars.e1.close();
    const { text } = await held;
    assert.equal(contentOf(text), expectedAnswer('[[tokens=150]] polish', 150));
    assert.ok(text.endsWith('data: [DONE]\n\n'));
    assert.equal(fleet.engine.journal().length, 1);
  }));

test('a backend server that is set to draining finishes what runs and gets nothing new', () =>
  withFleet(async (fleet) => {
    const running = answerOf(chat(fleet, 150, true));
    await until(() => tokensOf(fleet) > 10);
    await fleet.patchConfig({ backends: { e1: { draining: true } } });
    await until(async () => (await statusOfNewWork(fleet)) === 'waits');
    assert.ok((await running).text.endsWith('data: [DONE]\n\n'));
    const runs = fleet.engine.journal().length;
    const waiting = answerOf(chat(fleet, 5, false));
    await fleet.patchConfig({ backends: { e1: { draining: null } } });
    assert.equal((await waiting).status, 200);
    assert.ok(fleet.engine.journal().length > runs);
  }));

/** Whether a request is answered within a moment or waits; one that waits is withdrawn. */
async function statusOfNewWork(fleet: TestFleet): Promise<'answered' | 'waits'> {
  const signal = AbortSignal.timeout(300);
  return answerOf(chat(fleet, 1, false, signal)).then(
    () => 'answered' as const,
    () => 'waits' as const,
  );
}
