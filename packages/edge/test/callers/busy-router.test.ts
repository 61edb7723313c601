/** A router whose processor is busy with requests on kept connections: callers that connect meanwhile wait at most one second. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { test } from 'node:test';
import { createBodyBudget } from '../../src/callers/body-budget.js';
import { createRequestHandlers } from '../../src/callers/request-handler.js';
import type { EdgeContext } from '../../src/context.js';
import type { EdgeParts } from '../../src/types.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

const KEPT_CONNECTIONS = 60;
const NEW_CONNECTIONS = 30;
/** Time for which one request occupies the processor. */
const WORK_MS = 4;
const MEMORY_MB = 256;
/** Time for which callers wait to be accepted. */
const MAX_WAIT_MS = 1000;

function occupyProcessor(): void {
  const endsAtMs = performance.now() + WORK_MS;
  while (performance.now() < endsAtMs);
}

const OBJECTIVE_MS = 60_000;

/** Starts a server whose requests each occupy the processor and are answered, and whose connections have waited to be accepted. */
async function startBusyServer(acceptWaitMs = 0): Promise<Server> {
  const exchanges = new Map<string, { res: { end(): void } }>();
  const parts = {
    validator: {
      validate: () => ({ ok: true, attributes: { route: { objectiveMs: OBJECTIVE_MS } } }),
      maxBodyBytes: () => 1000,
    },
    bodyBudget: createBodyBudget(MEMORY_MB),
    exchanges: {
      add: (exchange: { id: string; res: { end(): void } }) => exchanges.set(exchange.id, exchange),
    },
    loopLag: { lagMs: () => 0 },
    acceptQueue: { takeWaitMs: () => acceptWaitMs, waitMs: () => 0 },
    metrics: { countRefusal() {} },
    state: {},
    requestErrors: {
      protect: (_res: unknown, _attemptId: unknown, step: () => void) => step(),
    },
    loop: {
      dispatch({ request }: { request: string }) {
        occupyProcessor();
        exchanges.get(request)!.res.end();
      },
    },
  } as unknown as EdgeParts;
  const ctx = {
    logger: createRecordingLogger(),
    clock: () => performance.now(),
    random: () => 0.5,
  } as unknown as EdgeContext;
  const server = createServer(createRequestHandlers(ctx, parts).onRequest);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

test('connections are accepted within a second while requests on kept connections occupy the processor', async (t) => {
  const server = await startBusyServer();
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  t.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const open = async (): Promise<Socket> => {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  };
  const sendRequest = (socket: Socket): boolean =>
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');

  const acceptedAtMs: number[] = [];
  server.on('connection', () => acceptedAtMs.push(performance.now()));
  const kept = await Promise.all(Array.from({ length: KEPT_CONNECTIONS }, open));
  while (acceptedAtMs.length < KEPT_CONNECTIONS) await once(server, 'connection');
  kept.forEach((socket) => {
    socket.on('data', () => sendRequest(socket));
    sendRequest(socket);
  });
  await once(server, 'request');
  const connectedAtMs = performance.now();
  await Promise.all(Array.from({ length: NEW_CONNECTIONS }, open));
  while (acceptedAtMs.length < KEPT_CONNECTIONS + NEW_CONNECTIONS) await once(server, 'connection');
  const lastMs = Math.round(acceptedAtMs.at(-1)! - connectedAtMs);
  assert.ok(
    lastMs <= MAX_WAIT_MS,
    `the last of ${NEW_CONNECTIONS} was accepted after ${lastMs} ms`,
  );
});

// Guards against: a router that is behind reads whole bodies and keeps connections open only to refuse their requests.
test(
  'a request whose connection has waited too long is refused before its body arrives, and its connection closes',
  { timeout: 20_000 },
  async (t) => {
    const server = await startBusyServer(OBJECTIVE_MS);
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    t.after(() => {
      caller.destroy();
      server.close();
    });
    caller.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n');
    const [head] = (await once(caller, 'data')) as [Buffer];
    assert.match(head.toString(), /^HTTP\/1\.1 503 [^]*\r\nConnection: close\r\n/);
    caller.write('x'.repeat(100));
    caller.resume();
    await once(caller, 'end');
  },
);
