/** Guards against bytes of a caller that end the router with the requests of all others. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseAddress } from '../../src/settings.js';
import { createDeployment, waitUntil } from '../standins/deployment.js';
import { requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';

const HEAD_LINES = ['Host: a.example', 'Credential: key-1', 'Connection: close'];

/** Sends raw bytes and returns the status of the response; undefined if there is none. */
function sendRaw(
  address: { host: string; port: number },
  text: string,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const socket = connect(address);
    let received = '';
    socket.setTimeout(100, () => socket.destroy());
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      const match = /^HTTP\/1.1 (\d+)/.exec(received);
      resolve(match === null ? undefined : Number(match[1]));
    });
    socket.write(Buffer.from(text, 'latin1'));
  });
}

const buildHead = (requestLine: string, lines: readonly string[]) =>
  `${[requestLine, ...HEAD_LINES, ...lines].join('\r\n')}\r\n\r\n`;

test('refuses requests that can not be passed on, and serves the others', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  const address = parseAddress(deployment.settings.callers.address);
  const malformed = [
    buildHead('GET /any/\t1 HTTP/1.1', []),
    buildHead('GET /any/\f1 HTTP/1.1', []),
    buildHead('GET /any/1 HTTP/1.1', ['two words: 1']),
    buildHead('GET /any/1 HTTP/1.1', [': 1']),
  ];
  for (const text of malformed) assert.equal(await sendRaw(address, text), 400);
  assert.equal(deployment.servers[0]!.arrivals.length, 0);
  const bytes = fc.string({
    unit: fc.integer({ min: 0, max: 255 }).map((byte) => String.fromCharCode(byte)),
  });
  const text = fc
    .tuple(fc.constantFrom('GET', 'POST', 'TRACE', 'CONNECT'), bytes, fc.array(bytes), fc.boolean())
    .map(([method, path, lines, isWhole]) =>
      isWhole
        ? buildHead(
            `${method} /any/${path} HTTP/1.1`,
            lines.map((line) => `X-${line}`),
          )
        : `${method} ${path}${lines.join('\r\n')}\r\n\r\n`,
    );
  await fc.assert(
    fc.asyncProperty(text, async (raw) => {
      await sendRaw(address, raw);
    }),
    { seed: 20261205, numRuns: 150 },
  );
  const answer = await deployment.call('/any/1');
  await deployment.close();
  assert.equal(answer.status, 200);
});

// Guards against one caller whose pieces of one byte take the event loop from all others.
test('refuses a body that comes in too many pieces, and reads it no further', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  const address = parseAddress(deployment.settings.callers.address);
  for (const path of ['/any/1', '/none']) {
    const socket = connect(address);
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    const head = requestHead(path, ['Transfer-Encoding: chunked']);
    const block = '1\r\nx\r\n'.repeat(2000);
    const write = (): void => {
      if (!socket.destroyed) socket.write(block, () => setImmediate(write));
    };
    socket.write(head, write);
    await waitUntil(() => /^HTTP\/1.1 4\d\d /.test(received));
    await waitUntil(() => socket.closed);
  }
  await deployment.close();
});
