/** Runs one attempt at a backend server. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { AttemptEnd } from '@kingcupsill/core/direct';
import { readAnswerHeaders, toCallerHeaders } from '@kingcupsill/prepared-platform';
import { createEventSplitter } from './event-splitter.js';
import { endsWithConnection, readInSteps } from './read-in-steps.js';
import type { ServerConnections } from './server-connections.js';
import type {
  AnswerTarget,
  AttemptListener,
  AttemptRequest,
  HeldAnswer,
  RunningAttempt,
} from './types.js';

/** Longest time for a connection: a few times the way between regions, below the second after which lost packets are sent again. */
const CONNECT_TIMEOUT_MS = 500;
/** Largest answer that is held whole before it goes to the caller. */
const MOST_HELD_BYTES = 8 * 1024 * 1024;
/** Statuses that promise that nothing ran; a backend server's own word for that is another header. */
const PROMISES = new Set([408, 421, 429, 503]);

/** What the head of an answer says of the attempt; undefined while all is well. */
function judgeHead(req: AttemptRequest, res: IncomingMessage): AttemptEnd | undefined {
  const head = readAnswerHeaders(res.headers);
  const status = res.statusCode!;
  if (head.attemptId !== undefined && head.attemptId !== req.attemptId) return AttemptEnd.Unknown;
  if (head.notRun) return status === 421 ? AttemptEnd.WrongServer : AttemptEnd.NotRun;
  if (status === 421) return AttemptEnd.WrongServer;
  if (PROMISES.has(status) || status < 200) return AttemptEnd.Unknown;
  if (status >= 300) return AttemptEnd.Failed;
  return head.signed && !head.encoded ? undefined : AttemptEnd.Unknown;
}

/** Ends for which the body doesn't matter. */
const HEAD_DECIDES = new Set<AttemptEnd>([
  AttemptEnd.Unknown,
  AttemptEnd.NotRun,
  AttemptEnd.WrongServer,
]);

/** Starts an attempt. The listener's `ended` is called once, unless it is cancelled. */
export function startAttempt(
  connections: ServerConnections,
  req: AttemptRequest,
  target: AnswerTarget,
  listener: AttemptListener,
): RunningAttempt {
  let over = false;
  let connected = false;
  let connectTimer: NodeJS.Timeout | undefined;

  function end(kind: AttemptEnd, detail: string, held?: HeldAnswer): void {
    if (over) return;
    over = true;
    clearTimeout(connectTimer);
    listener.ended(kind, detail, held);
  }

  function fail(detail: string): void {
    end(connected ? AttemptEnd.Unknown : AttemptEnd.Unsent, detail);
    clientReq.destroy();
  }

  function watchConnect(): void {
    clientReq.on('socket', (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      connectTimer = setTimeout(() => fail('connect timeout'), CONNECT_TIMEOUT_MS);
      socket.once('connect', () => {
        connected = true;
        clearTimeout(connectTimer);
      });
    });
  }

  /** A whole answer ends the attempt; a connection that still sends the request can't be kept. */
  function whole(kind: AttemptEnd, held: HeldAnswer | undefined): void {
    if (!clientReq.writableFinished) clientReq.destroy();
    end(kind, 'whole answer', held);
  }

  function holdAnswer(res: IncomingMessage, kind: AttemptEnd): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    res.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MOST_HELD_BYTES) fail('answer too large');
    });
    res.on('end', () => {
      if (!res.complete) {
        fail('answer cut short');
        return;
      }
      const headers = toCallerHeaders(res.rawHeaders, res.headers.connection);
      whole(kind, { status: res.statusCode!, headers, body: Buffer.concat(chunks) });
    });
  }

  function relayEvents(res: IncomingMessage): void {
    const splitter = createEventSplitter();
    const headers = toCallerHeaders(res.rawHeaders, res.headers.connection);

    function deliver(bytes: Buffer, lastId: string | undefined): void {
      listener.begun();
      if (!target.started()) target.start(res.statusCode!, headers);
      if (!target.write(bytes, () => res.resume())) res.pause();
      listener.delivered(lastId);
    }

    res.on('data', (piece: Buffer) => {
      if (over) return;
      const events = splitter.push(piece);
      if (events !== undefined) deliver(events.bytes, events.lastId);
    });
    res.on('end', () => {
      if (over) return;
      if (!res.complete) {
        fail('stream cut short');
        return;
      }
      const rest = splitter.rest();
      if (rest.length > 0 || !target.started()) deliver(rest, undefined);
      whole(AttemptEnd.Complete, undefined);
    });
  }

  function onResponse(res: IncomingMessage): void {
    const judged = judgeHead(req, res);
    if (endsWithConnection(res)) readInSteps(res);
    res.on('error', (err) => fail(err.message));
    res.on('close', () => fail('answer cut short'));
    if (judged !== undefined && HEAD_DECIDES.has(judged)) {
      end(judged, `status ${res.statusCode}`);
      if (judged === AttemptEnd.Unknown) clientReq.destroy();
      else res.resume();
      return;
    }
    if (judged === undefined && req.streaming) {
      relayEvents(res);
    } else {
      listener.begun();
      holdAnswer(res, judged ?? AttemptEnd.Complete);
    }
  }

  if (req.freshMs !== undefined) connections.prune(req.host, req.port, req.freshMs);
  const clientReq: ClientRequest = httpRequest({
    agent: connections.agent,
    host: req.host,
    port: req.port,
    method: req.method,
    path: req.path,
    // Node's types lack the list form, which keeps order, case and repeated headers.
    headers: req.headers as unknown as Record<string, string>,
    setHost: false,
  });
  watchConnect();
  clientReq.on('response', onResponse);
  clientReq.on('error', (err) => fail(err.message));
  clientReq.on('close', () => fail('connection closed'));
  clientReq.end(req.body);

  return {
    cancel() {
      over = true;
      clearTimeout(connectTimer);
      clientReq.destroy();
    },
  };
}
