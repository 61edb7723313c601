/** Guards against callers whose connections are closed unread, because callers and backend servers take all file descriptors. */
import assert from 'node:assert/strict';
import { request } from 'node:http';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { READINESS_PATH } from '@kingcupsill/prepared-platform';
import { sampleDocument, waitUntil } from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { withRouterProcess } from './process-deployment.js';

const MAX_FDS = 120;
const CALLERS = 300;
/** Fewer than may wait to be accepted. */
const CALLERS_AT_ONCE = 10;
const PAUSE_MS = 20;

let callCount = 0;

interface Answer {
  status: number | undefined;
  body: string;
  retryAfter: string | undefined;
}

/** Sends a request on a connection of its own. A connection without a whole answer has no status. */
function call(address: string, path: string): Promise<Answer> {
  const [host, port] = address.split(':');
  callCount += 1;
  const headers = { Host: 'a.example', Credential: 'key-1', 'Attempt-Id': `a${callCount}` };
  return new Promise((resolve) => {
    const fail = (err?: Error): void =>
      resolve({ status: undefined, body: String(err), retryAfter: undefined });
    const req = request({ host, port, path, headers, agent: false }, (res) => {
      let body = '';
      res.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      res.on('error', fail);
      res.on('end', () =>
        resolve({ status: res.statusCode, body, retryAfter: res.headers['retry-after'] }),
      );
    });
    req.on('error', fail);
    req.end();
  });
}

async function withRouter(
  handle: (arrival: Arrival) => void,
  run: (
    addresses: { callers: string; readiness: string },
    configure: () => Promise<void>,
  ) => Promise<void>,
): Promise<void> {
  const options = { handlers: [handle], maxFds: MAX_FDS };
  await withRouterProcess(options, async ({ router, store, callers, readiness }) => {
    await run({ callers, readiness }, async () => {
      const countChanges = () =>
        router.events().filter((event) => event === 'configuration-in-force').length;
      const before = countChanges();
      store.put('config', 'main', sampleDocument(before + 1));
      await waitUntil(() => countChanges() > before);
    });
  });
}

test('callers beyond the descriptors are told so, while the store and readiness are served', async () => {
  const waiting: Arrival[] = [];
  let isSlow = true;
  const handle = (arrival: Arrival) => {
    if (isSlow) waiting.push(arrival);
    else sendAnswer(arrival);
  };
  await withRouter(handle, async ({ callers, readiness }, configure) => {
    const answers: Promise<Answer>[] = [];
    const ended: Answer[] = [];
    while (answers.length < CALLERS) {
      for (let n = 0; n < CALLERS_AT_ONCE; n += 1) {
        const answer = call(callers, '/any/x');
        answers.push(answer);
        void answer.then((value) => ended.push(value));
      }
      await delay(PAUSE_MS);
    }
    await waitUntil(() => ended.length + waiting.length >= CALLERS);
    assert.equal((await call(readiness, READINESS_PATH)).status, 200);
    await configure();
    const refused = [...ended];
    isSlow = false;
    waiting.forEach((arrival) => sendAnswer(arrival));
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    const isRefusal = ({ status, body, retryAfter }: Answer): boolean =>
      status === 503 &&
      Number(retryAfter) > 0 &&
      body === '{"code":"router_connections_full","ran":"no"}';
    assert.deepEqual(
      refused.filter((answer) => !isRefusal(answer)),
      [],
    );
    assert.ok(refused.length > 0 && waiting.length > 0);
    assert.equal(statuses.filter((status) => status === 200).length, CALLERS - refused.length);
    await waitUntil(async () => (await call(callers, '/any/x')).status === 200);
  });
});
