/** Batching of outgoing messages: those queued in one tick are sent as one frame. */
import type { LinkMessage } from '@kingcupsill/core';
import type { WebSocket } from 'ws';
import type { Codec } from '../codec/create-codec.js';
import type { ResolvedOptions } from './options.js';
import type { TrafficCounters } from './create-traffic-counters.js';

/** Maximum size of a frame with several messages. */
const MAX_BATCH_BYTES = 16 * 1024;

/** Options of a sender. */
export interface SenderOptions {
  ws: WebSocket;
  codec: Codec;
  counters: TrafficCounters;
  limits: Pick<ResolvedOptions, 'maxMessageBytes' | 'maxBufferedBytes'>;
  /** Called when unsent data exceeds `maxBufferedBytes`. */
  onBufferFull: () => void;
}

/** Sends messages in batches, in order. */
export interface Sender {
  /** Adds a message to the current batch. Returns false if it exceeds `maxMessageBytes`. */
  enqueue(message: LinkMessage): boolean;
  /** Sends the current batch immediately. */
  flush(): void;
}

/** Creates a sender with an empty batch. */
export function createSender(options: SenderOptions): Sender {
  const { ws, codec, counters, onBufferFull } = options;
  const { maxMessageBytes, maxBufferedBytes } = options.limits;
  const maxBatchBytes = Math.min(MAX_BATCH_BYTES, maxMessageBytes);
  let batch: Buffer[] = [];
  let batchBytes = 0;

  function sendFrame(frame: Buffer): void {
    if (ws.readyState !== ws.OPEN) return;
    counters.countSentFrame(frame.length);
    ws.send(frame);
    if (ws.bufferedAmount > maxBufferedBytes) onBufferFull();
  }

  function flush(): void {
    if (batch.length === 0) return;
    const frame = batch.length === 1 ? batch[0]! : Buffer.concat(batch);
    batch = [];
    batchBytes = 0;
    sendFrame(frame);
  }

  function enqueue(message: LinkMessage): boolean {
    const encoded = codec.encode(message);
    if (encoded.length > maxMessageBytes) return false;
    if (batchBytes + encoded.length > maxBatchBytes) flush();
    if (batch.length === 0) queueMicrotask(flush);
    batch.push(encoded);
    batchBytes += encoded.length;
    counters.countSentMessage();
    return true;
  }

  return { enqueue, flush };
}
