/** Guards against requests that fail, or take the store's descriptors, because of connections to other backend servers. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { setImmediate as nextIteration } from 'node:timers/promises';
import { createServerConnections } from '../../src/relay/server-connections.js';
import { createServerStandin } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

test('an idle connection makes room for a new one, a busy one does not', async () => {
  const waiting: Arrival[] = [];
  const servers = [
    await createServerStandin(({ res }) => res.end()),
    await createServerStandin((arrival) => waiting.push(arrival)),
  ];
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 1,
    responseBytes: 1024 * 1024,
  });
  const send = (index: number) => {
    const { port } = servers[index]!;
    return request({ agent: connections.agent, host: '127.0.0.1', port }).end();
  };
  const [first] = (await once(send(0), 'response')) as [IncomingMessage];
  await once(first.resume(), 'close');
  await nextIteration();
  const busy = send(1);
  await once(busy, 'socket');
  await assert.rejects(once(send(0), 'response'), { message: 'connections to servers used up' });
  const answered = once(busy, 'response');
  while (waiting.length === 0) await nextIteration();
  waiting[0]!.res.end();
  const [second] = (await answered) as [IncomingMessage];
  assert.equal(second.statusCode, 200);
  second.resume();
  connections.close();
  servers.forEach((server) => server.close());
});

test('the first bytes on an idle connection close it, since they belong to no request', async (t) => {
  const server = await createServerStandin(({ req, res }) => {
    res.end('ok');
    setTimeout(() => req.socket.write('x'), 50);
  });
  const connections = createServerConnections({
    nowMs: () => performance.now(),
    maxConnections: 1,
    responseBytes: 32 * 1024 * 1024,
  });
  t.after(() => {
    connections.close();
    server.close();
  });
  const req = request({ agent: connections.agent, host: '127.0.0.1', port: server.port }).end();
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  await once(res.resume(), 'end');
  await once(req.socket!, 'close');
  assert.deepEqual(connections.agent.freeSockets, Object.create(null));
});

// Guards against one request after the other that waits on kept connections which have all gone silent (issue 65).
test('a request without an answer on a kept connection closes those that have rested since before it', async (t) => {
  const arrivals: Arrival[] = [];
  const server = await createServerStandin((arrival) => arrivals.push(arrival));
  let nowMs = 0;
  const connections = createServerConnections({
    nowMs: () => nowMs,
    maxConnections: 9,
    responseBytes: 1024 * 1024,
  });
  t.after(() => {
    connections.close();
    server.close();
  });
  const send = (path: string) =>
    request({ agent: connections.agent, host: '127.0.0.1', port: server.port, path }).end();
  async function answer(req: ReturnType<typeof send>): Promise<void> {
    const find = () => arrivals.find(({ req: { url } }) => url === req.path);
    while (find() === undefined) await nextIteration();
    find()!.res.end();
    const [res] = (await once(req, 'response')) as [IncomingMessage];
    await once(res.resume(), 'close');
    await nextIteration();
  }
  const close = (unanswered: ReturnType<typeof send>) =>
    connections.closeDoubtful('127.0.0.1', server.port, unanswered.socket!);

  const first = ['/a', '/b', '/c'].map(send);
  for (const req of first) await answer(req);
  nowMs = 100;
  const [unanswered, sound] = [send('/d'), send('/e')];
  // Closing the pool resets its connection.
  unanswered.on('error', () => undefined);
  await Promise.all([once(unanswered, 'socket'), once(sound, 'socket')]);
  nowMs = 200;
  await answer(sound);
  assert.equal(close(unanswered), 0);
  nowMs = 1000;
  assert.equal(close(unanswered), 1);
  assert.equal(sound.socket!.destroyed, false);
});
