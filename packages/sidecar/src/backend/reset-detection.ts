/** Connections on which a reset behind data is an error, and not the end of a response without a length. */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

import type { DiagnosticsChannel } from 'undici';
import { buildConnector, errors } from 'undici';

interface ReadHandle {
  reading: boolean;
  readStart(): number;
  readStop(): number;
}

/** Headers that determine the length of a body. */
const LENGTH_HEADERS = new Set(['content-length', 'transfer-encoding']);

/** Connections of the connector on which reading isn't paused yet. */
const unpaused = new WeakSet<Socket>();
const socketsByRequest = new WeakMap<object, Socket>();

/** Creates a connector for undici's dispatchers whose connections report each reset that is received. */
export function createResetDetectingConnector(): buildConnector.connector {
  const connect = buildConnector({});
  return (options, callback) =>
    connect(options, (...result) => {
      const [err, socket] = result;
      if (!err && socket) reportResets(socket);
      callback(...result);
    });
}

/** Destroys a connection that was reset with an error that undici doesn't take for the end of a response, as it does ECONNRESET. */
function reportResets(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (err?: NodeJS.ErrnoException) =>
    destroy(err?.code === 'ECONNRESET' ? new errors.SocketError('connection reset') : err);
  unpaused.add(socket);
}

subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage;
  if (unpaused.has(socket)) socketsByRequest.set(request, socket);
});

subscribe('undici:request:headers', (message) => {
  const { request, response } = message as DiagnosticsChannel.RequestHeadersMessage;
  const socket = socketsByRequest.get(request);
  const hasLength = response.headers.some(
    (name, index) => index % 2 === 0 && LENGTH_HEADERS.has(String(name).toLowerCase()),
  );
  if (socket && !hasLength) pauseAfterChunks(socket);
});

/**
 * Pauses reading now and after each chunk, until the next iteration of the event loop. If a reset follows data directly, libuv
 * reports an orderly end without querying the kernel, unless reading was stopped while the data was handled; the next read then
 * reports the reset. Node has no public API for this.
 */
function pauseAfterChunks(socket: Socket): void {
  const { _handle: handle } = socket as Socket & { _handle?: ReadHandle | null };
  if (!handle) return;
  unpaused.delete(socket);
  const push = socket.push.bind(socket);
  const readStart = handle.readStart.bind(handle);
  let isPaused = false;

  function resume(): void {
    isPaused = false;
    if (!socket.destroyed && handle?.reading) readStart();
  }

  function pause(): void {
    if (isPaused) return;
    isPaused = true;
    handle?.readStop();
    setImmediate(resume);
  }

  // The stream, which sets `reading`, may ask for more within the same iteration.
  handle.readStart = () => (isPaused ? 0 : readStart());
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null) pause();
    return push(chunk, encoding);
  };
  pause();
}
