/** Crowd of callers that keep to no limit, over raw connections: they write what they can, read nothing and stay open. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { requestHead } from '../standins/raw-caller.js';

/** Path whose answers are large. */
export const LARGE_PATH = '/any/large';
export const LARGE_ANSWER = 'x'.repeat(400_000);

const BARE_GET = 'GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n';
const CHUNKED_HEAD = requestHead('/once/upload', ['Transfer-Encoding: chunked']);
/** Within the limit of a body, as all of them. */
const BODY_BYTES = 90_000;

function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Chunks of a body that stops short of its end. */
const unfinishedBody = (chunkBytes: number): string =>
  CHUNKED_HEAD + chunk(chunkBytes).repeat(Math.floor(BODY_BYTES / chunkBytes));

/** What one caller writes, by form. */
const FORMS = {
  'requests sent ahead': () =>
    (requestHead(LARGE_PATH, ['Attempt-Id: crowd'], 'GET') + BARE_GET).repeat(250),
  'bare requests for no route sent ahead': () => BARE_GET.repeat(5000),
  'unfinished bodies in large chunks': () => unfinishedBody(30_000),
  'unfinished bodies in chunks of one byte': () => unfinishedBody(1),
  'heads without an end': () => `${CHUNKED_HEAD.slice(0, -2)}X-Head: ${'x'.repeat(15_000)}`,
};
export type CrowdForm = keyof typeof FORMS;
export const CROWD_FORMS = Object.keys(FORMS) as CrowdForm[];

export interface Crowd {
  /** Resolves when each caller has handed over what it writes, or was closed, or nothing more is taken from any for a while. */
  written: Promise<void>;
  close(): Promise<void>;
}

const MAX_QUIET_MS = 2000;
const POLL_MS = 100;

/** Opens `size` connections, which take the forms in turn. */
export function openCrowd(address: string, size: number, forms: readonly CrowdForm[]): Crowd {
  const [host, port] = address.split(':');
  let pending = size;
  const sockets = Array.from({ length: size }, (_none, index): Socket => {
    const socket = connect({ host: host!, port: Number(port) });
    let isPending = true;
    const finish = (): void => {
      if (isPending) pending -= 1;
      isPending = false;
    };
    socket.on('error', () => undefined);
    socket.on('close', finish);
    socket.pause();
    socket.write(FORMS[forms[index % forms.length]!](), finish);
    return socket;
  });

  async function watch(): Promise<void> {
    let takenBytes = -1;
    let quietSinceMs = performance.now();
    while (pending > 0 && performance.now() - quietSinceMs < MAX_QUIET_MS) {
      const bytes = sockets.reduce(
        (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
        0,
      );
      if (bytes !== takenBytes) quietSinceMs = performance.now();
      takenBytes = bytes;
      await delay(POLL_MS);
    }
  }

  return {
    written: watch(),
    async close() {
      await Promise.all(
        sockets.map(
          (socket) =>
            new Promise<void>((resolve) => {
              if (socket.closed) resolve();
              else socket.once('close', () => resolve()).destroy();
            }),
        ),
      );
    },
  };
}
