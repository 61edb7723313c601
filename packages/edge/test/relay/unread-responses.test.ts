/** Guards against routers that exceed their memory by responses that callers don't read. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { sendAnswer } from '../standins/server-standin.js';
import { waitUntil, withDeployment } from '../standins/deployment.js';

/** Within the limit of one response, and more than the send buffers of the kernel hold. */
const LARGE_BODY = 'x'.repeat(7 * 1024 * 1024);
const CALLERS = 6;
/** All responses that the router holds together. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;

/** Sends a request on a connection that is never read. */
function callWithoutReading(address: string, id: string): Socket {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.pause();
  socket.on('error', () => undefined);
  const headers = [
    'Host: a.example',
    `Attempt-Id: ${id}`,
    'Credential: key-1',
    'Deadline-Ms: 1500',
  ];
  socket.write(`GET /any/large HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`);
  return socket;
}

test('responses that callers do not read stay within the budget, and their connections are closed after the deadline', async () => {
  await withDeployment(
    [(arrival) => sendAnswer(arrival, arrival.req.url === '/any/large' ? LARGE_BODY : 'small')],
    async ({ call, settings, logLines }) => {
      const sockets = Array.from({ length: CALLERS }, (_item, index) =>
        callWithoutReading(settings.callers.address, `unread-${index}`),
      );
      const countLines = (event: string) => logLines.filter((line) => line.event === event).length;
      const isBufferFull = () =>
        logLines.some(({ fields }) => fields.detail === 'response buffers full');
      await waitUntil(isBufferFull);
      const small = await call('/any/small');
      // The event loop of the test's process also writes the large responses, so the router may say that it is busy.
      if (small.status !== 200) assert.match(small.body, /"router_busy"/);
      await waitUntil(() => countLines('response-unread') > 0);
      const unread = logLines.filter(({ event }) => event === 'response-unread');
      const unsentBytes = unread.reduce((sum, { fields }) => sum + Number(fields.unsentBytes), 0);
      assert.ok(unsentBytes <= MAX_HELD_BYTES, `${unsentBytes} bytes`);
      sockets.forEach((socket) => socket.destroy());
      await waitUntil(async () => {
        const { status, body } = await call('/any/large');
        return status === 200 && body === LARGE_BODY;
      });
    },
  );
});
