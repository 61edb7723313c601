/** Callers of the soak test: they reuse connections until the router's process ends, and record every request with its result. */
import { Agent, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Router } from './routers.js';
import { RouteKind } from './types.js';
import type { Call } from './types.js';

export interface Callers {
  calls: Call[];
  /** Sends one request on a connection of its own. */
  send(router: Router, path: string, kind: RouteKind): Promise<Call>;
  stop(): Promise<void>;
}

export interface CallersOptions {
  routers: readonly Router[];
  count: number;
  random: () => number;
}

/** Deadline that callers set for each request. */
export const DEADLINE_MS = 3000;
const MEAN_THINK_TIME_MS = 60;
const ROUTE_KINDS: readonly RouteKind[] = Object.values(RouteKind);

/** Starts `count` callers that send requests in a closed loop until they are stopped. */
export function startCallers({ routers, count, random }: CallersOptions): Callers {
  const calls: Call[] = [];
  let requestCount = 0;
  let stopped = false;

  function send(router: Router, path: string, kind: RouteKind, agent?: Agent): Promise<Call> {
    requestCount += 1;
    const attemptId = `c${requestCount}`;
    const [host, port] = router.address.split(':');
    const call: Call = {
      attemptId,
      kind,
      path,
      routerProcess: router.processName(),
      sentAtMs: performance.now(),
      endedAtMs: 0,
      status: undefined,
      headers: {},
      body: '',
      complete: false,
    };
    calls.push(call);
    return new Promise((resolve) => {
      const finish = (): void => {
        call.endedAtMs = performance.now();
        resolve(call);
      };
      const headers = {
        Host: 'a.example',
        'Attempt-Id': attemptId,
        Credential: 'key-1',
        'Deadline-Ms': String(DEADLINE_MS),
      };
      const method = kind === RouteKind.Safe ? 'GET' : 'POST';
      const requestAgent = agent ?? new Agent();
      const req = request({ host, port, path, method, headers, agent: requestAgent }, (res) => {
        call.status = res.statusCode;
        call.headers = res.headers;
        res.on('data', (chunk: Buffer) => {
          call.body += chunk.toString();
        });
        // A truncated answer emits an error before it closes.
        res.on('error', () => undefined);
        res.on('close', () => {
          call.complete = res.complete;
          finish();
        });
      });
      req.on('error', finish);
      req.setTimeout(DEADLINE_MS + 2000, () => req.destroy());
      req.end(kind === RouteKind.Safe ? undefined : 'body');
    });
  }

  async function runCaller(): Promise<void> {
    const agent = new Agent({ keepAlive: true });
    while (!stopped) {
      const router = routers[Math.floor(random() * routers.length)]!;
      const kind = ROUTE_KINDS[Math.floor(random() * ROUTE_KINDS.length)]!;
      await send(router, `/${kind}/${requestCount}`, kind, agent);
      await delay(random() * 2 * MEAN_THINK_TIME_MS);
    }
    agent.destroy();
  }

  const callerLoops = Array.from({ length: count }, runCaller);
  return {
    calls,
    send,
    async stop() {
      stopped = true;
      await Promise.all(callerLoops);
    },
  };
}
