/** Backend servers of the soak: they run requests, keep a journal of it, and misbehave when told to. */
import type { Arrival, ServerStandin } from '../standins/server-standin.js';
import { createServerStandin } from '../standins/server-standin.js';
import { sampleEntry } from '../standins/deployment.js';
import type { StoreStandin } from '../standins/store-standin.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import type { Run } from './types.js';

/** How a server treats requests. */
export const Behaviour = {
  Serve: 'serve',
  /** Runs and answers with a failure of its own. */
  Fail: 'fail',
  /** Says that it didn't run. */
  Shed: 'shed',
  /** Runs and never answers. */
  Hang: 'hang',
  /** Runs, then the connection is reset. */
  Reset: 'reset',
  /** Breaks off in the middle of its answer. */
  Break: 'break',
} as const;
export type Behaviour = (typeof Behaviour)[keyof typeof Behaviour];

export interface Backend {
  id: string;
  proxy: Proxy;
  setBehaviour(behaviour: Behaviour): void;
  /** Puts its entry into the store. */
  register(state?: 'ready' | 'draining'): void;
  /** Takes its entry out; it serves on, as a leaving server does. */
  deregister(): void;
  /** A new run under the same id, which knows nothing of before. */
  restart(): void;
  close(): void;
}

/** Events of a stream. */
export const STREAM_EVENTS = 6;
const EVENT_INTERVAL_MS = 25;
const SERVICE_TIME_MS = 20;

/** The body that the answer to this request must have. */
export function answerBody(attemptId: string, path: string): string {
  return `${attemptId} ${path} `.repeat(20);
}

/** An event of a stream. */
export function streamEvent(attemptId: string, index: number): string {
  return `id: ${index}\ndata: ${attemptId} ${index}/${STREAM_EVENTS}\n\n`;
}

function answerHeaders(
  { header }: Arrival,
  extraHeaders: Record<string, string>,
): Record<string, string> {
  return {
    'Response-Signature': 'signed',
    'Attempt-Id': header('attempt-id') ?? '',
    ...extraHeaders,
  };
}

function sendPlain(arrival: Arrival, truncates: boolean): void {
  const { req, res, header } = arrival;
  const body = answerBody(header('attempt-id') ?? '', req.url!);
  setTimeout(() => {
    res.writeHead(200, answerHeaders(arrival, { 'Content-Length': String(body.length) }));
    if (!truncates) res.end(body);
    else res.write(body.slice(0, 50), () => res.destroy());
  }, SERVICE_TIME_MS);
}

function sendStream(arrival: Arrival, truncates: boolean): void {
  const { res, header } = arrival;
  res.writeHead(200, answerHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
  let index = Number(header('last-event-id') ?? 0);
  const timer = setInterval(() => {
    index += 1;
    if (truncates && index === 3) {
      clearInterval(timer);
      // In the middle of an event.
      res.write('id: 3\nda', () => res.destroy());
      return;
    }
    res.write(streamEvent(header('attempt-id') ?? '', index));
    if (index < STREAM_EVENTS) return;
    clearInterval(timer);
    res.end();
  }, EVENT_INTERVAL_MS);
  res.on('close', () => clearInterval(timer));
}

function processRequest(arrival: Arrival, behaviour: Behaviour): void {
  const { req, res } = arrival;
  const truncates = behaviour === Behaviour.Break;
  if (behaviour === Behaviour.Hang) return;
  if (behaviour === Behaviour.Reset)
    setTimeout(() => req.socket.resetAndDestroy(), SERVICE_TIME_MS);
  else if (behaviour === Behaviour.Fail) {
    res.writeHead(500, answerHeaders(arrival, { 'Content-Length': '6' }));
    res.end('failed');
  } else if (/^\/(stream|talk)\//.test(req.url!)) sendStream(arrival, truncates);
  else sendPlain(arrival, truncates);
}

/** Starts a server that isn't in the store yet. */
export async function createBackend(
  id: string,
  store: StoreStandin,
  onRun: (run: Run) => void,
): Promise<Backend> {
  let behaviour: Behaviour = Behaviour.Serve;
  let incarnation = 1;
  const standin: ServerStandin = await createServerStandin((arrival) => {
    const { res, header } = arrival;
    const targetInstance = header('target-instance');
    if (targetInstance !== undefined && targetInstance !== id) {
      res.writeHead(421, answerHeaders(arrival, { 'Not-Executed': '1', 'Content-Length': '0' }));
      res.end();
      return;
    }
    if (behaviour === Behaviour.Shed) {
      res.writeHead(503, answerHeaders(arrival, { 'Not-Executed': '1', 'Content-Length': '0' }));
      res.end();
      return;
    }
    onRun({ attemptId: header('attempt-id') ?? '', server: id, atMs: performance.now() });
    processRequest(arrival, behaviour);
  });
  const proxy = await createProxy(standin.port);

  function register(state: 'ready' | 'draining' = 'ready'): void {
    store.put('servers', id, sampleEntry(proxy.port, { state, born: incarnation }));
  }

  return {
    id,
    proxy,
    setBehaviour(next) {
      behaviour = next;
    },
    register,
    deregister: () => store.remove('servers', id),
    restart() {
      incarnation += 1;
      proxy.resetAll();
      register();
    },
    close() {
      proxy.close();
      standin.close();
    },
  };
}
