/** Guards against a response that a server repeats on a kept connection and that is taken for the answer to a later request. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { withDeployment } from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const REFUSALS: { status: number; headers: Record<string, string> }[] = [
  { status: 503, headers: { 'Not-Executed': '1' } },
  { status: 429, headers: { 'Not-Executed': '1' } },
  { status: 421, headers: {} },
];

function formatHead(status: number, headers: Record<string, string>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Repeated\r\n${lines.join('')}Content-Length: 0\r\n\r\n`;
}

REFUSALS.forEach(({ status, headers }) => {
  // Guards against "not run" for a request that runs: the refusal of its first attempt comes once more on its second one.
  test(`takes a repeated ${status} that names the request for no answer to a later attempt`, async () => {
    let runs = 0;
    const createHandler = () => {
      const refusedOn = new Map<string, unknown>();
      return (arrival: Arrival) => {
        const { socket } = arrival.req;
        const attemptId = arrival.header('attempt-id')!;
        const refusal = formatHead(status, { ...headers, 'Attempt-Id': attemptId });
        const isRefused = refusedOn.has(attemptId);
        if (!isRefused || refusedOn.get(attemptId) === socket) socket.write(refusal);
        refusedOn.set(attemptId, socket);
        if (!isRefused) return;
        runs += 1;
        setTimeout(() => {
          if (!socket.destroyed) sendAnswer(arrival, 'ran');
        }, 20);
      };
    };
    // Each server refuses a request once, so its third attempt is the second one at a server.
    await withDeployment([createHandler(), createHandler()], async ({ call }) => {
      const statuses = [];
      for (let index = 0; index < 4; index += 1)
        statuses.push((await call(`/once/${index}`, { method: 'POST' })).status);
      assert.deepEqual([statuses, runs], [[200, 200, 200, 200], 4]);
    });
  });

  // Guards against "not run", and a second run elsewhere, by a refusal that names no request on a connection used before.
  test(`takes a repeated ${status} that names no request for no answer`, async () => {
    const used = new Set<unknown>();
    let runs = 0;
    const handle = (arrival: Arrival) => {
      const { socket } = arrival.req;
      if (used.has(socket)) socket.write(formatHead(status, headers));
      used.add(socket);
      runs += 1;
      setTimeout(() => {
        if (!socket.destroyed) sendAnswer(arrival, 'ran');
      }, 20);
    };
    await withDeployment([handle, handle], async ({ call }) => {
      const statuses = [];
      for (let index = 0; index < 6; index += 1)
        statuses.push((await call(`/once/${index}`, { method: 'POST' })).status);
      assert.ok(statuses.includes(502), 'a connection was used again');
      assert.deepEqual(
        statuses.filter((answered) => answered !== 200 && answered !== 502),
        [],
      );
      assert.equal(runs, statuses.length);
    });
  });
});

test('a refusal that names no request counts on a new connection', async () => {
  const refuse = (arrival: Arrival) => {
    arrival.req.socket.end(formatHead(503, { 'Not-Executed': '1' }));
  };
  await withDeployment([refuse, (arrival) => sendAnswer(arrival, 'ran')], async ({ call }) => {
    for (let index = 0; index < 4; index += 1)
      assert.equal((await call(`/once/${index}`, { method: 'POST' })).body, 'ran');
  });
});

test('an answer that names no request counts for none on a connection used before', async () => {
  const used = new Set<unknown>();
  const handle = (arrival: Arrival) => {
    const { socket } = arrival.req;
    if (used.has(socket)) {
      const signed = {
        'Response-Signature': 'earlier',
        'Server-Leaving': '1',
        'Server-Limit': '1',
      };
      socket.write(formatHead(200, signed));
    }
    used.add(socket);
    setTimeout(() => {
      if (!socket.destroyed) sendAnswer(arrival, 'own');
    }, 20);
  };
  await withDeployment([handle], async ({ call, logLines }) => {
    const first = await call('/once/1', { method: 'POST' });
    const second = await call('/once/2', { method: 'POST' });
    assert.deepEqual([first.body, second.status], ['own', 502]);
    const beliefs = logLines.filter(({ event }) => /server-(leaving|limited)/.test(event));
    assert.deepEqual(beliefs, []);
  });
});
