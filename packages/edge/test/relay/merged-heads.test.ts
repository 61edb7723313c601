/** Guards against two heads on one connection that are read as one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { withDeployment } from '../standins/deployment.js';
import type { Arrival } from '../standins/server-standin.js';

const toHead = (lines: string[]) => `${lines.join('\r\n')}\r\n\r\n`;

/** Beginnings of heads that the bytes of a whole answer complete on the same connection. */
const CUT_BEGINNINGS = [
  'HTTP/1.1 200 O',
  'HTTP/1.1 200 OK\r\nX-Other: a',
  'HTTP/1.1 200 OK\r\nX-Other',
  'HTTP/1.1 200 OK\r\nResponse-Signature: s',
  'HTTP/1.1 200 OK\r\nContent-Length: ',
];
const FAILED = ['HTTP/1.1 500 Failed', 'Response-Signature: sig', 'Content-Length: 6'];

for (const beginning of CUT_BEGINNINGS) {
  // Guards against a server's failure that reaches its caller as a success with the status of a head that was cut before it.
  test(`answers with 502 if a whole answer follows the beginning ${JSON.stringify(beginning)}`, async () => {
    const handle = ({ req, header }: Arrival) => {
      const [status, ...lines] = FAILED;
      const named = toHead([status!, `Attempt-Id: ${header('attempt-id')}`, ...lines]);
      req.socket.write(`${beginning}${named}failed`);
    };
    await withDeployment([handle], async ({ call }) => {
      for (const route of ['once', 'talk']) {
        const answer = await call(`/${route}/1`, { method: 'POST' });
        assert.equal(answer.status, 502, `${answer.status} ${answer.body}`);
        assert.equal(answer.headers['response-signature'], undefined);
      }
    });
  });
}
