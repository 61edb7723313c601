/** Guards against requests that keep their memory and their servers after their callers have left, because an earlier one is open. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { waitUntil, withDeployment } from '../standins/deployment.js';
import type { Deployment } from '../standins/deployment.js';
import { requestHead } from '../standins/raw-caller.js';

const LARGE_BODY = 'x'.repeat(90_000);
/** Several of these fill the memory for responses. */
const LARGE_RESPONSE = 'x'.repeat(7 * 1024 * 1024);

interface Rounds {
  count: number;
  path: string;
  body: string;
  /** Returns whether the second request of a round has come as far as the test needs. */
  isReached: (deployment: Deployment, round: number) => boolean;
}

function formatRequest(path: string, body: string): string {
  return requestHead(path, ['Attempt-Id: a1', `Content-Length: ${body.length}`]) + body;
}

/** Leaves connections on which a second request was sent before the first was answered. */
async function leaveConnections(deployment: Deployment, rounds: Rounds): Promise<void> {
  const { settings, servers } = deployment;
  const [host, port] = settings.callers.address.split(':');
  const countFirst = () =>
    servers[0]!.arrivals.filter(({ req }) => req.url === '/any/waiting').length;
  for (let round = 1; round <= rounds.count; round += 1) {
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    socket.write(formatRequest('/any/waiting', 'x'));
    await waitUntil(() => countFirst() >= round);
    socket.write(formatRequest(rounds.path, rounds.body));
    await waitUntil(() => rounds.isReached(deployment, round));
    socket.destroy();
  }
}

function handle(arrival: Arrival): void {
  const { url } = arrival.req;
  if (url === '/any/large') sendAnswer(arrival, LARGE_RESPONSE);
  else if (url !== '/any/waiting' && url !== '/any/slow') sendAnswer(arrival, 'small');
}

const countArrivals = ({ servers }: Deployment, path: string): number =>
  servers[0]!.arrivals.filter(({ req }) => req.url === path).length;

// Guards against an account that is refused with `router_memory_full` from then on.
test('the memory of a body is returned when its caller leaves before an earlier answer', async () => {
  await withDeployment([handle], async (deployment) => {
    await leaveConnections(deployment, {
      count: 30,
      path: '/any/x',
      body: LARGE_BODY,
      isReached: (current, round) => countArrivals(current, '/any/x') >= round,
    });
    const answer = await deployment.call('/any/x', { method: 'POST', body: LARGE_BODY });
    assert.equal(answer.status, 200, answer.body);
  });
});

// Guards against a router that answers all large responses with 502 from then on.
test('the memory of a response is returned when its caller leaves before an earlier answer', async () => {
  await withDeployment([handle], async (deployment) => {
    await leaveConnections(deployment, {
      count: 8,
      path: '/any/large',
      body: 'x',
      isReached: ({ servers }, round) =>
        servers[0]!.arrivals
          .filter(({ req }) => req.url === '/any/large')
          .filter(({ res }) => res.writableFinished).length >= round,
    });
    await waitUntil(async () => (await deployment.call('/any/large')).status === 200);
  });
});

// Guards against servers that work on, and a drain that waits, for a caller that has left.
test('a request ends when its caller leaves before an earlier answer', async () => {
  await withDeployment([handle], async (deployment) => {
    await leaveConnections(deployment, {
      count: 1,
      path: '/any/slow',
      body: 'x',
      isReached: (current) => countArrivals(current, '/any/slow') === 1,
    });
    const slow = deployment.servers[0]!.arrivals.find(({ req }) => req.url === '/any/slow')!;
    await waitUntil(() => slow.req.socket.destroyed);
    const refusals = deployment.logLines.filter(({ event }) => event === 'request-refused');
    assert.deepEqual(refusals, []);
  });
});
