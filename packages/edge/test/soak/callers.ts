/** Callers of the soak test: they reuse connections until the router's process ends, and record every request with its result. */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Router } from './routers.js';
import { RouteKind } from './types.js';
import type { Call } from './types.js';
import { DEADLINE_MS, drawRequest } from './workload.js';
import type { CallRequest } from './workload.js';

export interface Callers {
  calls: Call[];
  /** Sends one plain request on a connection of its own. */
  send(router: Router, path: string): Promise<Call>;
  stop(): Promise<void>;
}

export interface CallersOptions {
  routers: readonly Router[];
  /** Number of callers, each with connections of its own. */
  count: number;
  /** Number of client accounts; a caller has one. */
  accounts: number;
  /** Requests of all callers per second. */
  ratePerS: number;
  /** Fraction of the requests with long work, of those with a late last byte, and of those that are read slowly. */
  unusualFraction: number;
  random: () => number;
}

/** Time after its deadline at which a caller gives a request up. */
const GIVE_UP_AFTER_MS = 2000;
const MS_PER_S = 1000;

const PROBE: Omit<CallRequest, 'path'> = {
  kind: RouteKind.Safe,
  bodyBytes: 0,
  lastByteDelayMs: 0,
  readPauseMs: 0,
  deadlineMs: DEADLINE_MS,
};

/** Returns the key of a client account. */
export function formatApiKey(account: number): string {
  return `key-${account + 1}`;
}

/** Sends the body, its last byte late where the request says so. Chunks frame every second body. */
function sendBody(req: ClientRequest, { bodyBytes, lastByteDelayMs }: CallRequest): void {
  const body = 'b'.repeat(bodyBytes);
  if (bodyBytes > 0 && bodyBytes % 2 === 0) req.setHeader('Content-Length', bodyBytes);
  if (lastByteDelayMs === 0) {
    req.end(bodyBytes === 0 ? undefined : body);
    return;
  }
  req.write(body.slice(1));
  const timer = setTimeout(() => req.end('b'), lastByteDelayMs);
  req.once('close', () => clearTimeout(timer));
}

/** Reads the answer into the call, with a pause after each part. */
function readAnswer(call: Call, res: IncomingMessage, pauseMs: number): void {
  call.status = res.statusCode;
  call.headers = res.headers;
  res.on('data', (chunk: Buffer) => {
    call.body += chunk.toString();
    if (pauseMs === 0) return;
    res.pause();
    setTimeout(() => res.resume(), pauseMs);
  });
  // A truncated answer emits an error before it closes.
  res.on('error', () => undefined);
}

/** Starts callers that send requests at a constant mean rate, however long the answers take, until they are stopped. */
export function startCallers(options: CallersOptions): Callers {
  const { routers, count, accounts, ratePerS, unusualFraction, random } = options;
  const calls: Call[] = [];
  const agents = Array.from({ length: count }, () => new Agent({ keepAlive: true }));
  const open = new Set<Promise<unknown>>();
  let requestCount = 0;
  let stopped = false;

  function sendRequest(
    router: Router,
    callRequest: CallRequest,
    account: number,
    agent: Agent,
  ): Promise<Call> {
    const { kind, path, deadlineMs } = callRequest;
    requestCount += 1;
    const attemptId = `c${requestCount}`;
    const [host, port] = router.address.split(':');
    const call: Call = {
      attemptId,
      kind,
      path,
      routerProcess: router.processName(),
      deadlineMs,
      sentAtMs: performance.now(),
      lastByteAtMs: undefined,
      endedAtMs: 0,
      status: undefined,
      headers: {},
      body: '',
      complete: false,
    };
    calls.push(call);
    return new Promise((resolve) => {
      const headers = {
        Host: 'a.example',
        'Attempt-Id': attemptId,
        Credential: formatApiKey(account),
        'Deadline-Ms': String(deadlineMs),
      };
      const method = kind === RouteKind.Safe ? 'GET' : 'POST';
      const req = request({ host, port, path, method, headers, agent }, (res) => {
        readAnswer(call, res, callRequest.readPauseMs);
        res.on('close', () => {
          call.complete = res.complete;
          finish();
        });
      });
      const timer = setTimeout(() => req.destroy(), deadlineMs + GIVE_UP_AFTER_MS);
      function finish(): void {
        clearTimeout(timer);
        call.endedAtMs = performance.now();
        // An early answer leaves the rest of the body unsent.
        if (!req.writableFinished) req.destroy();
        resolve(call);
      }
      req.on('finish', () => {
        call.lastByteAtMs = performance.now();
      });
      req.on('error', finish);
      sendBody(req, callRequest);
    });
  }

  async function sendRequests(): Promise<void> {
    let nextAtMs = performance.now();
    while (!stopped) {
      const router = routers[Math.floor(random() * routers.length)]!;
      const caller = Math.floor(random() * count);
      const callRequest = drawRequest(random, requestCount, unusualFraction);
      const sent = sendRequest(router, callRequest, caller % accounts, agents[caller]!);
      open.add(sent);
      void sent.then(() => open.delete(sent));
      nextAtMs += (-Math.log(1 - random()) * MS_PER_S) / ratePerS;
      await delay(Math.max(0, nextAtMs - performance.now()));
    }
  }

  const sending = sendRequests();
  return {
    calls,
    send: (router, path) => sendRequest(router, { ...PROBE, path }, 0, new Agent()),
    async stop() {
      stopped = true;
      await sending;
      await Promise.all(open);
      agents.forEach((agent) => agent.destroy());
    },
  };
}
