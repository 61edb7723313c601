/** Caller that writes its requests byte by byte as a test needs it, and keeps what it receives. */
import { connect } from 'node:net';
import type { Deployment } from './deployment.js';
import { waitUntil } from './deployment.js';

export interface RawCaller {
  write(text: string): void;
  /** All bytes that were received. */
  received(): string;
  /** Error of the connection; undefined without one. */
  error(): Error | undefined;
  isClosed(): boolean;
  /** Returns whether the router has ended the connection. */
  isEnded(): boolean;
  pause(): void;
  resume(): void;
  /** Waits until one whole answer has been received, or the connection has closed without it. Returns its status, or `none`. */
  answer(): Promise<string>;
  close(): void;
}

/** Returns a request's head. `headers` are lines without line ends. */
export function requestHead(path: string, headers: string[], method = 'POST'): string {
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: a.example', 'Credential: key-1', ...headers];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function findAnswer(received: string): string | undefined {
  const match = /^HTTP\/1\.1 (\d+)[^]*?\r\ncontent-length: (\d+)[^]*?\r\n\r\n([^]*)$/i.exec(
    received,
  );
  return match !== null && match[3]!.length >= Number(match[2]) ? match[1] : undefined;
}

/** @param router address of the router; a deployment has it in its settings */
export function createRawCaller(router: {
  settings: { callers: Pick<Deployment['settings']['callers'], 'address'> };
}): RawCaller {
  const [host, port] = router.settings.callers.address.split(':');
  const socket = connect({ host: host!, port: Number(port), noDelay: true, allowHalfOpen: true });
  let received = '';
  let error: Error | undefined;
  let ended = false;
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.on('end', () => {
    ended = true;
  });
  socket.on('error', (err) => {
    error = err;
  });
  return {
    write: (text) => socket.write(text),
    received: () => received,
    error: () => error,
    isClosed: () => socket.destroyed,
    isEnded: () => ended || socket.destroyed,
    pause: () => socket.pause(),
    resume: () => socket.resume(),
    async answer() {
      await waitUntil(() => findAnswer(received) !== undefined || ended || socket.destroyed);
      return findAnswer(received) ?? 'none';
    },
    close: () => socket.destroy(),
  };
}
