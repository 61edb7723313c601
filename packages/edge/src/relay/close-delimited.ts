/** Detection of close-delimited responses and of connection resets in them. */
import type { IncomingMessage } from 'node:http';
import { pauseReading } from '../pause-reading.js';
import { BodyFraming } from './types.js';

/** Returns what determines the end of the body. */
export function getBodyFraming({ headers }: IncomingMessage): BodyFraming {
  if (headers['transfer-encoding'] !== undefined) return BodyFraming.Chunked;
  return headers['content-length'] === undefined ? BodyFraming.Close : BodyFraming.Length;
}

/**
 * Pauses reading after each chunk of a close-delimited response, so that a reset isn't taken for its end. If a reset follows data
 * directly, libuv reports an orderly end without querying the kernel, unless reading was stopped while the data was handled; the
 * next read then reports the reset. Must be called while the head of the response is handled.
 */
export function enableResetDetection(res: IncomingMessage): void {
  const { socket } = res;
  const pause = (): void => pauseReading(socket);
  pause();
  socket.on('data', pause);
  res.once('close', () => socket.removeListener('data', pause));
}
