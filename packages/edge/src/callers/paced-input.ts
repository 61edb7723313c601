/**
 * Pacing of what callers send. Node's parser goes through a whole read at once, which can contain thousands of requests or pieces of a
 * body, and does so for all connections before any other work. Here it gets one request at a time: those that are sent ahead, and
 * bodies that are much work, wait for turns which all connections share.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Logger } from '@kingcupsill/runtime';
import { resumeReading, stopReading } from '../pause-reading.js';
import { createTurns } from '../turns.js';
import { createConnectionInput } from './connection-input.js';
import type { ConnectionInput } from './connection-input.js';
import { createQueuedResponses } from './queued-responses.js';
import { createWaitingMemory } from './waiting-memory.js';

/** Input of all connections of a server. */
export interface PacedInput {
  /** Takes over the input of a connection that the server has just accepted. */
  add(socket: Socket): void;
  /** Records a request and the response to it. Must be called when the request begins. */
  startRequest(req: IncomingMessage, res: ServerResponse): void;
  /** Gives the input of a connection back that doesn't speak HTTP any more. */
  release(socket: Socket): void;
}

/** Options of the pacing. */
export interface PacedInputOptions {
  clock: Clock;
  logger: Logger;
  /** Maximum number of requests that are open on one connection; further ones wait. */
  maxOpenRequests: number;
  /** Memory in bytes for what waits. */
  maxWaitingBytes: number;
}

type DataListener = (bytes: Buffer) => void;

/** Maximum number of requests that are open behind others on their connections; beyond it, each connection has one. */
const MAX_OPEN_AHEAD = 64;
/** Time for which a body without a stated length is read as it arrives; sound ones take a fraction of it. */
const ARRIVAL_MS = 1;

/** Reads what has arrived, up to a second request, and of a body without a stated length only for a time. */
function readArrived(input: ConnectionInput, mayRead: () => boolean, clock: Clock): void {
  const endsAtMs = clock() + ARRIVAL_MS;
  let hasReadHead = false;
  while (mayRead()) {
    if (input.isReceivingBody()) {
      if (input.isWorkUnknown() && clock() >= endsAtMs) return;
    } else {
      if (hasReadHead) return;
      hasReadHead = true;
    }
    input.readNext();
  }
}

/** Creates the pacing of a server without connections. */
export function createPacedInput(options: PacedInputOptions): PacedInput {
  const { clock, logger, maxOpenRequests } = options;
  const inputs = new Map<Socket, { input: ConnectionInput; onData: DataListener }>();
  const responses = createQueuedResponses();
  const memory = createWaitingMemory(options.maxWaitingBytes, logger);
  const turns = createTurns<ConnectionInput>(clock, (input) => {
    if (mayRead(input)) input.readNext();
    settle(input);
  });
  let openAhead = 0;

  function mayRead(input: ConnectionInput): boolean {
    const { socket } = input;
    if (input.waitingBytes() === 0 || socket.destroyed || socket.isPaused()) return false;
    const maxOpen = openAhead < MAX_OPEN_AHEAD ? maxOpenRequests : 1;
    const open = responses.count(socket);
    // Only a body of a stated length is certain to begin no other request.
    if (input.isReceivingBody()) return !input.isWorkUnknown() || open <= maxOpen;
    return open < maxOpen;
  }

  function settle(input: ConnectionInput): void {
    const isWaiting = input.waitingBytes() > 0;
    if (isWaiting && !memory.has(input)) {
      stopReading(input.socket);
      memory.add(input);
    } else if (!isWaiting && memory.has(input)) {
      memory.remove(input);
      resumeReading(input.socket);
    }
    goOn(input);
  }

  function goOn(input: ConnectionInput): void {
    if (mayRead(input)) turns.add(input);
  }

  return {
    add(socket) {
      const [parse] = socket.listeners('data') as DataListener[];
      const input = createConnectionInput(socket, parse!);
      const onData: DataListener = (bytes) => {
        input.add(bytes);
        if (!memory.has(input)) readArrived(input, () => mayRead(input), clock);
        settle(input);
      };
      inputs.set(socket, { input, onData });
      socket.removeListener('data', parse!);
      socket.on('data', onData);
      socket.on('resume', () => goOn(input));
      socket.on('close', () => {
        inputs.delete(socket);
        input.drop();
        memory.remove(input);
      });
    },
    startRequest(req, res) {
      const { socket } = req;
      const input = inputs.get(socket)?.input;
      input?.startRequest(req);
      const isAhead = responses.count(socket) > 0;
      responses.add(socket, res);
      openAhead += isAhead ? 1 : 0;
      res.once('close', () => {
        openAhead -= isAhead ? 1 : 0;
        if (input !== undefined) goOn(input);
      });
    },
    release(socket) {
      const known = inputs.get(socket);
      if (known === undefined) return;
      inputs.delete(socket);
      memory.remove(known.input);
      socket.removeListener('data', known.onData);
      const waiting = known.input.drop();
      if (waiting.length > 0) socket.unshift(waiting);
    },
  };
}
