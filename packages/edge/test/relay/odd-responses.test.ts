/** Guards against bytes of one server that end the router with the requests at all others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import { sendAnswer, signedHeaders, writeRawAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const formatEvent = (id: string) => `id: ${id}\ndata: x\n\n`;

test('serves on a connection whose server states an endless idle timeout', async () => {
  const handle = (arrival: Arrival) =>
    writeRawAnswer(arrival, [`Keep-Alive: timeout=${'9'.repeat(400)}`, 'Content-Length: 2'], 'ok');
  await withDeployment([handle, handle], async ({ call }) => {
    for (let index = 0; index < 3; index += 1)
      assert.equal((await call(`/any/${index}`)).body, 'ok');
  });
});

test('continues a stream elsewhere before an event whose id can not be sent', async () => {
  const handle = (arrival: Arrival) => {
    const isResumed = arrival.header('last-event-id') !== undefined;
    arrival.res.writeHead(200, signedHeaders(arrival));
    if (isResumed) {
      arrival.res.end(formatEvent('2'));
      return;
    }
    arrival.res.write(formatEvent('1'));
    setTimeout(() => arrival.res.end(formatEvent('\u0001')), 20);
  };
  await withDeployment([handle, handle], async ({ call, servers }) => {
    const answer = await call('/stream/1', { method: 'POST' });
    assert.deepEqual([answer.complete, answer.body], [true, formatEvent('1') + formatEvent('2')]);
    const resumed = servers.flatMap(({ arrivals }) => arrivals).at(-1);
    assert.equal(resumed?.header('last-event-id'), '1');
    // A stream that is never resumed is passed on as it is.
    assert.equal((await call('/talk/1', { method: 'POST' })).complete, true);
  });
});

/** Text whose characters stand for arbitrary bytes. */
const bytes = fc.string({
  unit: fc.integer({ min: 0, max: 255 }).map((byte) => String.fromCharCode(byte)),
  maxLength: 40,
});

test('survives arbitrary heads and bodies', async () => {
  const raw = { text: '' };
  const handle = (arrival: Arrival) => {
    if (arrival.req.url === '/any/sound') sendAnswer(arrival);
    else arrival.req.socket.end(Buffer.from(raw.text, 'latin1'));
  };
  const field = fc
    .tuple(
      fc.constantFrom(
        'Keep-Alive',
        'Server-Limit',
        'Retry-After',
        'Attempt-Id',
        'Connection',
        'X y',
      ),
      fc.oneof(bytes, fc.integer().map(String), fc.bigInt().map(String)),
    )
    .map(([name, value]) => `${name}: ${value}`);
  const response = fc
    .tuple(fc.integer({ min: 0, max: 999 }), fc.array(field), fc.array(bytes))
    .map(([status, fields, ids]) => {
      const code = String(status).padStart(3, '0');
      const head = [`HTTP/1.1 ${code} Odd`, 'Response-Signature: s', ...fields].join('\r\n');
      return `${head}\r\n\r\n${ids.map(formatEvent).join('')}`;
    });
  await withDeployment([handle, handle], async ({ call }) => {
    let count = 0;
    const property = fc.asyncProperty(fc.oneof(response, bytes), async (text) => {
      raw.text = text;
      count += 1;
      await call(`/stream/${count}`, { method: 'POST' }).catch(() => undefined);
      await call(`/once/${count}`, { method: 'POST' }).catch(() => undefined);
    });
    await fc.assert(property, { seed: 20261205, numRuns: 100 });
    await waitUntil(async () => (await call('/any/sound')).status === 200);
  });
});
