/** Runs one attempt at a backend server. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import { judgeHead } from './judge-head.js';
import { endsWithConnection, readInSteps } from './read-in-steps.js';
import type { ServerConnections } from './server-connections.js';
import { holdAnswer, relayEvents } from './take-answer.js';
import type {
  AnswerTarget,
  AttemptListener,
  AttemptRequest,
  HeldAnswer,
  RunningAttempt,
} from './types.js';

/** Longest time for a connection: a few times the way between regions, below the second after which lost packets are sent again. */
const CONNECT_TIMEOUT_MS = 500;

function openRequest(connections: ServerConnections, req: AttemptRequest): ClientRequest {
  if (req.freshMs !== undefined) connections.prune(req.host, req.port, req.freshMs);
  return httpRequest({
    agent: connections.agent,
    host: req.host,
    port: req.port,
    method: req.method,
    path: req.path,
    // Node's types lack the list form, which keeps order, case and repeated headers.
    headers: req.headers as unknown as Record<string, string>,
    setHost: false,
  });
}

/** Calls `onLate` if no connection stands in time. Returns whether one stands. */
function watchConnect(clientReq: ClientRequest, onLate: () => void): () => boolean {
  let connected = false;
  clientReq.on('socket', (socket) => {
    connected = !socket.connecting;
    if (connected) return;
    const timer = setTimeout(onLate, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      connected = true;
      clearTimeout(timer);
    });
    socket.once('close', () => clearTimeout(timer));
  });
  return () => connected;
}

/** Starts an attempt. The listener's `ended` is called once, unless the attempt is cancelled. */
export function startAttempt(
  connections: ServerConnections,
  req: AttemptRequest,
  target: AnswerTarget,
  listener: AttemptListener,
): RunningAttempt {
  const clientReq = openRequest(connections, req);
  const isConnected = watchConnect(clientReq, () => broken('connect timeout'));
  let over = false;

  function end(kind: AttemptOutcome, detail: string, held?: HeldAnswer): void {
    if (over) return;
    over = true;
    listener.ended(kind, detail, held);
  }

  function broken(detail: string): void {
    end(isConnected() ? AttemptOutcome.Unknown : AttemptOutcome.Unsent, detail);
    clientReq.destroy();
  }

  function onResponse(res: IncomingMessage): void {
    const judged = judgeHead(res, req.attemptId);
    const detail = `status ${res.statusCode}`;
    if (endsWithConnection(res)) readInSteps(res);
    res.on('error', (err) => broken(err.message));
    res.on('close', () => broken('answer cut short'));
    if (judged.decided) {
      end(judged.end, detail);
      if (judged.end === AttemptOutcome.Unknown) clientReq.destroy();
      else res.resume();
      return;
    }
    const taken = {
      whole(held: HeldAnswer | undefined): void {
        // A connection on which the request is still being sent can't be kept.
        if (!clientReq.writableFinished) clientReq.destroy();
        end(judged.end, detail, held);
      },
      broken,
      isOver: () => over,
    };
    if (judged.end === AttemptOutcome.Complete && req.streaming) {
      relayEvents(res, target, listener, taken);
    } else {
      listener.begun();
      holdAnswer(res, taken);
    }
  }

  clientReq.on('response', onResponse);
  clientReq.on('error', (err) => broken(err.message));
  clientReq.on('close', () => broken('connection closed'));
  clientReq.end(req.body);

  return {
    cancel() {
      over = true;
      clientReq.destroy();
    },
  };
}
