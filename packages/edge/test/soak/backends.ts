/** Backend servers of the soak test: they report each execution of a request and can be switched to faulty behaviours. */
import type { Socket } from 'node:net';
import type { Arrival, ServerStandin } from '../standins/server-standin.js';
import { createServerStandin, writeRawAnswer } from '../standins/server-standin.js';
import { sampleEntry } from '../standins/deployment.js';
import type { StoreStandin } from '../standins/store-standin.js';
import { createProxy } from './proxy.js';
import type { Proxy } from './proxy.js';
import { Resumption, sendStream } from './streams.js';
import type { Run } from './types.js';
import { answerBody, parseWork } from './workload.js';
import type { Service, SoftwareVersion } from './workload.js';

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
  /** Ends or resets the connection inside the answer's head. */
  CutHead: 'cut-head',
} as const;
export type Behaviour = (typeof Behaviour)[keyof typeof Behaviour];

export interface BackendOptions {
  id: string;
  version: SoftwareVersion;
  service: Service;
  slots: number;
}

export interface Backend {
  id: string;
  proxy: Proxy;
  setBehaviour(behaviour: Behaviour): void;
  /** Sets what the server sends where it resumes a stream. */
  setResumption(resumption: Resumption): void;
  /** Writes the server's entry into the store. */
  register(state?: 'ready' | 'draining'): void;
  /** Removes the server's entry; it continues to serve requests, as a departing server does. */
  deregister(): void;
  /** Resets all connections and registers a new incarnation under the same id. */
  restart(): void;
  close(): void;
}

/** Step between the offsets of cut heads, coprime to the length of most heads. */
const CUT_HEAD_STEP = 37;

function answerHeaders({ header }: Arrival, extraHeaders: Record<string, string>) {
  const attemptId = header('attempt-id') ?? '';
  return { 'Response-Signature': 'signed', 'Attempt-Id': attemptId, ...extraHeaders };
}

function sendPlain(arrival: Arrival, truncates: boolean): void {
  const { req, res, header } = arrival;
  const body = answerBody(header('attempt-id') ?? '', req.url!);
  res.writeHead(200, answerHeaders(arrival, { 'Content-Length': String(body.length) }));
  if (!truncates) res.end(body);
  else res.write(body.slice(0, 50), () => res.destroy());
}

let cutHeadCount = 0;

/** Sends a part of a response head, then ends or resets the connection. */
function cutHead({ req: { socket }, header }: Arrival): void {
  cutHeadCount += 1;
  const head = `HTTP/1.1 200 OK\r\nResponse-Signature: signed\r\nAttempt-Id: ${header('attempt-id')}\r\nContent-Length: 12\r\n\r\n`;
  const part = head.slice(0, 1 + ((cutHeadCount * CUT_HEAD_STEP) % (head.length - 1)));
  socket.write(part, () => (cutHeadCount % 2 === 0 ? socket.end() : socket.resetAndDestroy()));
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

type Answer = (arrival: Arrival) => void;

/** Answers of servers that misbehave; the others send what was asked for. */
const ANSWERS: Partial<Record<Behaviour, Answer>> = {
  [Behaviour.Hang]: () => undefined,
  [Behaviour.Reset]: ({ req }) => req.socket.resetAndDestroy(),
  [Behaviour.CutHead]: cutHead,
  [Behaviour.Spoil]: (arrival) =>
    writeRawAnswer(arrival, ['q8 7f1: 0c', 'Content-Length: 2'], 'ok'),
  [Behaviour.Fail]: (arrival) =>
    arrival.res.writeHead(500, answerHeaders(arrival, { 'Content-Length': '6' })).end('failed'),
};

function processRequest(
  arrival: Arrival,
  behaviour: Behaviour,
  version: SoftwareVersion,
  resumption: Resumption,
): void {
  const { req } = arrival;
  const truncates = behaviour === Behaviour.Break;
  const sendAnswer =
    ANSWERS[behaviour] ??
    (() => {
      const headers = answerHeaders(arrival, {});
      if (!/^\/(stream|talk)\//.test(req.url!)) sendPlain(arrival, truncates);
      else sendStream(arrival, { version, headers, truncates, resumption });
    });
  const timer = setTimeout(() => sendAnswer(arrival), parseWork(req.url!).serviceTimeMs);
  arrival.res.on('close', () => clearTimeout(timer));
}

/** Starts a server behind a proxy, without an entry in the store; `onRun` is called for each execution. */
export async function createBackend(
  { id, version, ...entry }: BackendOptions,
  store: StoreStandin,
  onRun: (run: Run) => void,
): Promise<Backend> {
  let behaviour: Behaviour = Behaviour.Serve;
  let resumption: Resumption = Resumption.Correct;
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
    const attemptId = header('attempt-id') ?? '';
    const run: Run = { attemptId, server: id, atMs: performance.now(), behaviour };
    onRun(run);
    res.on('close', () => {
      run.endedAtMs = performance.now();
    });
    processRequest(arrival, behaviour, version, resumption);
  });
  const proxy = await createProxy(standin.port);

  function register(state: 'ready' | 'draining' = 'ready'): void {
    store.put(
      'servers',
      id,
      sampleEntry(proxy.port, { state, born: incarnation, version, ...entry }),
    );
  }

  return {
    id,
    proxy,
    setBehaviour(next) {
      behaviour = next;
    },
    setResumption(next) {
      resumption = next;
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
