/** Backend servers of the soak test: they report each execution of a request and can be switched to faulty behaviours. */
import type { Socket } from 'node:net';
import type { Arrival, ServerStandin } from '../standins/server-standin.js';
import { createServerStandin, writeRawAnswer } from '../standins/server-standin.js';
import { sampleEntry } from '../standins/deployment.js';
import type { StoreStandin } from '../standins/store-standin.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import type { Run } from './types.js';

/** Behaviour of a server towards requests. */
export const Behaviour = {
  Serve: 'serve',
  /** Runs the request and answers with status 500. */
  Fail: 'fail',
  /** Rejects the request without running it. */
  Shed: 'shed',
  /** Runs the request and never answers. */
  Hang: 'hang',
  /** Runs the request, then resets the connection. */
  Reset: 'reset',
  /** Closes the connection in the middle of the answer. */
  Break: 'break',
  /** Runs the request and answers with a header whose name has a space. */
  Spoil: 'spoil',
  /** Rejects every other request, and writes that rejection once more where the next response on its connection is expected. */
  Repeat: 'repeat',
} as const;
export type Behaviour = (typeof Behaviour)[keyof typeof Behaviour];

export interface Backend {
  id: string;
  proxy: Proxy;
  setBehaviour(behaviour: Behaviour): void;
  /** Writes the server's entry into the store. */
  register(state?: 'ready' | 'draining'): void;
  /** Removes the server's entry; it continues to serve requests, as a departing server does. */
  deregister(): void;
  /** Resets all connections and registers a new incarnation under the same id. */
  restart(): void;
  close(): void;
}

/** Number of events in a stream. */
export const STREAM_EVENTS = 6;
const EVENT_INTERVAL_MS = 25;
const SERVICE_TIME_MS = 20;

/** Returns the expected body of a plain answer. */
export function answerBody(attemptId: string, path: string): string {
  return `${attemptId} ${path} `.repeat(20);
}

/** Versions of the servers' software, which write streams of their own. */
export const SOFTWARE_VERSIONS = ['v1', 'v2'] as const;
export type SoftwareVersion = (typeof SOFTWARE_VERSIONS)[number];

/** Returns the expected event of a stream at a 1-based index. */
export function streamEvent(attemptId: string, index: number, version: SoftwareVersion): string {
  return `id: ${index}\ndata: ${attemptId} ${index}/${STREAM_EVENTS} ${version}\n\n`;
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

/** Streams sent so far; every second one has neither a length nor chunks and ends with its connection. */
let streamCount = 0;

function sendStream(arrival: Arrival, truncates: boolean, version: SoftwareVersion): void {
  const { res, header } = arrival;
  streamCount += 1;
  const isCloseDelimited = streamCount % 2 === 0;
  if (isCloseDelimited) res.removeHeader('Transfer-Encoding');
  res.writeHead(200, answerHeaders(arrival, { 'Content-Type': 'text/event-stream' }));
  let index = Number(header('last-event-id') ?? 0);
  if (index >= STREAM_EVENTS) {
    // The connection broke between the last event and the end of the stream.
    res.end();
    return;
  }
  const timer = setInterval(() => {
    index += 1;
    if (truncates && index === 3) {
      clearInterval(timer);
      // Ends the answer inside the third event.
      if (isCloseDelimited) res.end('id: 3\nda');
      else res.write('id: 3\nda', () => res.destroy());
      return;
    }
    res.write(streamEvent(header('attempt-id') ?? '', index, version));
    if (index < STREAM_EVENTS) return;
    clearInterval(timer);
    res.end();
  }, EVENT_INTERVAL_MS);
  res.on('close', () => clearInterval(timer));
}

/** Rejections that come once more, by connection; every second one names no request. */
const repeatedRefusals = new WeakMap<Socket, string>();
let refusalCount = 0;

function refuse(arrival: Arrival, behaviour: Behaviour): void {
  const { req, res, header } = arrival;
  res.writeHead(503, answerHeaders(arrival, { 'Not-Executed': '1', 'Content-Length': '0' }));
  res.end();
  if (behaviour !== Behaviour.Repeat) return;
  refusalCount += 1;
  const name = refusalCount % 2 === 0 ? `Attempt-Id: ${header('attempt-id')}\r\n` : '';
  const text = `HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n${name}Content-Length: 0\r\n\r\n`;
  repeatedRefusals.set(req.socket, text);
}

/** Writes the rejection of an earlier request on the connection once more. Returns whether there was one. */
function repeatRefusal({ req: { socket } }: Arrival): boolean {
  const text = repeatedRefusals.get(socket);
  if (text === undefined) return false;
  repeatedRefusals.delete(socket);
  return socket.write(text);
}

function processRequest(arrival: Arrival, behaviour: Behaviour, version: SoftwareVersion): void {
  const { req, res } = arrival;
  const truncates = behaviour === Behaviour.Break;
  if (behaviour === Behaviour.Hang) return;
  if (behaviour === Behaviour.Reset)
    setTimeout(() => req.socket.resetAndDestroy(), SERVICE_TIME_MS);
  else if (behaviour === Behaviour.Fail) {
    res.writeHead(500, answerHeaders(arrival, { 'Content-Length': '6' }));
    res.end('failed');
  } else if (behaviour === Behaviour.Spoil)
    writeRawAnswer(arrival, ['q8 7f1: 0c', 'Content-Length: 2'], 'ok');
  else if (/^\/(stream|talk)\//.test(req.url!)) sendStream(arrival, truncates, version);
  else sendPlain(arrival, truncates);
}

/** Starts a server behind a proxy, without an entry in the store; `onRun` is called for each execution. */
export async function createBackend(
  id: string,
  version: SoftwareVersion,
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
    const repeatsRefusal = repeatRefusal(arrival);
    if (behaviour === Behaviour.Shed || (behaviour === Behaviour.Repeat && !repeatsRefusal)) {
      refuse(arrival, behaviour);
      return;
    }
    onRun({ attemptId: header('attempt-id') ?? '', server: id, atMs: performance.now() });
    processRequest(arrival, behaviour, version);
  });
  const proxy = await createProxy(standin.port);

  function register(state: 'ready' | 'draining' = 'ready'): void {
    store.put('servers', id, sampleEntry(proxy.port, { state, born: incarnation, version }));
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
