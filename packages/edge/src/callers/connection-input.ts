/** Input of one caller's connection, which Node's parser gets part by part. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { findHeadEnd, findPartEnd, takeOverlap } from './input-parts.js';

/** Input of one connection. */
export interface ConnectionInput {
  socket: Socket;
  /** Adds received bytes. */
  add(bytes: Buffer): void;
  waitingBytes(): number;
  isReceivingBody(): boolean;
  /** Whether the rest of the body that is being received is as much work as its sender wants. */
  isWorkUnknown(): boolean;
  /** Passes the next part on to the parser. */
  readNext(): void;
  /** Records the request that has begun in the part that is being read. */
  startRequest(req: IncomingMessage): void;
  /** Removes and returns what waits. */
  drop(): Buffer;
}

const NO_BYTES = Buffer.alloc(0);

/** @param parse Node's listener to the connection, which passes what it gets on to the parser */
export function createConnectionInput(
  socket: Socket,
  parse: (this: Socket, bytes: Buffer) => void,
): ConnectionInput {
  let waiting: Buffer = NO_BYTES;
  let overlap = '';
  /** Request of which the rest of the body has not been read; a complete one isn't kept while the connection is idle. */
  let receiving: IncomingMessage | undefined;
  let requests = 0;
  /** Rest of the body of that request, if its length is stated. */
  let bodyLeftBytes = 0;

  const isReceivingBody = (): boolean => receiving !== undefined;

  function readPart(endOffset: number): void {
    const part = waiting.subarray(0, endOffset);
    // An empty part would keep the memory of the whole.
    waiting = endOffset < waiting.length ? waiting.subarray(endOffset) : NO_BYTES;
    overlap = takeOverlap(part);
    parse.call(socket, part);
    if (receiving?.complete === true) receiving = undefined;
  }

  function readHead(): void {
    const headEnd = findHeadEnd(overlap, waiting);
    const requestsBefore = requests;
    readPart(headEnd ?? waiting.length);
    // Elsewhere the parser has found the end of a head that isn't one, so that the beginning of its body isn't known.
    const isAtBody = headEnd !== undefined && requests > requestsBefore;
    bodyLeftBytes = isAtBody ? Number(receiving?.headers['content-length'] ?? 0) : 0;
  }

  function readBody(): void {
    if (bodyLeftBytes === 0) {
      readPart(findPartEnd(waiting));
      return;
    }
    const bytes = Math.min(bodyLeftBytes, waiting.length);
    bodyLeftBytes -= bytes;
    readPart(bytes);
  }

  return {
    socket,
    add(bytes) {
      waiting = waiting.length === 0 ? bytes : Buffer.concat([waiting, bytes]);
    },
    waitingBytes: () => waiting.length,
    isReceivingBody,
    isWorkUnknown: () => isReceivingBody() && bodyLeftBytes === 0,
    readNext() {
      if (isReceivingBody()) readBody();
      else readHead();
    },
    startRequest(req) {
      receiving = req;
      requests += 1;
    },
    drop() {
      const dropped = waiting;
      waiting = NO_BYTES;
      return dropped;
    },
  };
}
