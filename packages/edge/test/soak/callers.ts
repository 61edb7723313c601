/** Callers of the soak: they keep connections until the process is gone, and record what they see. */
import { Agent, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Router } from './routers.js';
import { RouteKind } from './types.js';
import type { Call } from './types.js';

export interface Callers {
  calls: Call[];
  /** Asks one router once. */
  ask(router: Router, path: string, kind: RouteKind): Promise<Call>;
  stop(): Promise<void>;
}

export interface CallersOptions {
  routers: readonly Router[];
  count: number;
  random: () => number;
}

/** Time that callers give a request. */
export const DEADLINE_MS = 3000;
const MEAN_PAUSE_MS = 60;
const KINDS: readonly RouteKind[] = Object.values(RouteKind);

/** Starts the callers. */
export function startCallers({ routers, count, random }: CallersOptions): Callers {
  const calls: Call[] = [];
  let numbered = 0;
  let stopped = false;

  function ask(router: Router, path: string, kind: RouteKind, agent?: Agent): Promise<Call> {
    numbered += 1;
    const attemptId = `c${numbered}`;
    const [host, port] = router.address.split(':');
    const call: Call = {
      attemptId,
      kind,
      path,
      router: router.processName(),
      sentAtMs: performance.now(),
      endedAtMs: 0,
      status: undefined,
      headers: {},
      body: '',
      whole: false,
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
      const method = kind === RouteKind.Any ? 'GET' : 'POST';
      const own = agent ?? new Agent();
      const req = request({ host, port, path, method, headers, agent: own }, (res) => {
        call.status = res.statusCode;
        call.headers = res.headers;
        res.on('data', (chunk: Buffer) => {
          call.body += chunk.toString();
        });
        // A broken answer ends with an error and then closes.
        res.on('error', () => undefined);
        res.on('close', () => {
          call.whole = res.complete;
          finish();
        });
      });
      req.on('error', finish);
      req.setTimeout(DEADLINE_MS + 2000, () => req.destroy());
      req.end(kind === RouteKind.Any ? undefined : 'body');
    });
  }

  async function live(): Promise<void> {
    const agent = new Agent({ keepAlive: true });
    while (!stopped) {
      const router = routers[Math.floor(random() * routers.length)]!;
      const kind = KINDS[Math.floor(random() * KINDS.length)]!;
      await ask(router, `/${kind}/${numbered}`, kind, agent);
      await delay(random() * 2 * MEAN_PAUSE_MS);
    }
    agent.destroy();
  }

  const living = Array.from({ length: count }, live);
  return {
    calls,
    ask,
    async stop() {
      stopped = true;
      await Promise.all(living);
    },
  };
}
