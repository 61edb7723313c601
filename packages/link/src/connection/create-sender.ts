/** Collects messages and sends those of one tick as one frame. */
import type { LinkMessage } from '@kingcupsill/core';
import type { WebSocket } from 'ws';
import type { Codec } from '../codec/create-codec.js';
import type { ResolvedOptions } from './options.js';
import type { TrafficCounters } from './create-traffic-counters.js';

/** Messages of one tick share a frame up to this size. */
const MAX_SHARED_FRAME_BYTES = 16 * 1024;

/** Options of a sender. */
export interface SenderOptions {
  ws: WebSocket;
  codec: Codec;
  traffic: TrafficCounters;
  limits: Pick<ResolvedOptions, 'maxMessageBytes' | 'maxBufferedBytes'>;
  /** Called when more than `maxBufferedBytes` wait for the peer to read. */
  onBufferFull: () => void;
}

/** Sends messages in order. */
export interface Sender {
  /** Adds a message to the frame of this tick; false when it is above the limit. */
  enqueue(message: LinkMessage): boolean;
  /** Sends what was added, without waiting for the end of the tick. */
  flush(): void;
}

/** Creates a sender. */
export function createSender(options: SenderOptions): Sender {
  const { ws, codec, traffic, onBufferFull: onFull } = options;
  const { maxMessageBytes, maxBufferedBytes } = options.limits;
  const maxSharedBytes = Math.min(MAX_SHARED_FRAME_BYTES, maxMessageBytes);
  let parts: Buffer[] = [];
  let bytes = 0;

  function sendFrame(frame: Buffer): void {
    if (ws.readyState !== ws.OPEN) return;
    traffic.countSentFrame(frame.length);
    ws.send(frame);
    if (ws.bufferedAmount > maxBufferedBytes) onFull();
  }

  function flush(): void {
    if (parts.length === 0) return;
    const frame = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
    parts = [];
    bytes = 0;
    sendFrame(frame);
  }

  function add(message: LinkMessage): boolean {
    const encoded = codec.encode(message);
    if (encoded.length > maxMessageBytes) return false;
    if (bytes + encoded.length > maxSharedBytes) flush();
    if (parts.length === 0) queueMicrotask(flush);
    parts.push(encoded);
    bytes += encoded.length;
    traffic.countSentMessage();
    return true;
  }

  return { enqueue: add, flush };
}
