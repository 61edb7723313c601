/** Receipt and decoding of message frames. */
import type { LinkMessage } from '@kingcupsill/core';
import type { RawData, WebSocket } from 'ws';
import type { Codec, DecodeResult } from '../codec/create-codec.js';

/** Options of `receiveFrames`. */
export interface ReceiveOptions {
  ws: WebSocket;
  codec: Codec;
  /** Called for each frame, before its messages are delivered. */
  onFrame: (payloadBytes: number) => void;
  onMessage: (message: LinkMessage) => void;
  onMalformed: (detail: string) => void;
}

function toBuffer(data: RawData): Buffer {
  if (Buffer.isBuffer(data)) return data;
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data);
}

function decode(codec: Codec, frame: Buffer, isBinary: boolean): DecodeResult {
  if (isBinary) return codec.decode(frame);
  return { ok: false, detail: 'text frame after the handshake' };
}

/** Delivers the messages of each received frame. If any message of a frame is malformed, none is delivered. */
export function receiveFrames(options: ReceiveOptions): void {
  options.ws.on('message', (data, isBinary) => {
    const frame = toBuffer(data);
    options.onFrame(frame.length);
    const decoded = decode(options.codec, frame, isBinary);
    if (decoded.ok) decoded.messages.forEach(options.onMessage);
    else options.onMalformed(decoded.detail);
  });
}
