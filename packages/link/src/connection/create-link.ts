/** Open link over an authenticated WebSocket: messages, heartbeats, counters and the limit on unsent data. */
import { randomUUID } from 'node:crypto';
import type { HelloMessage, LinkMessage } from '@kingcupsill/core';
import type { WebSocket } from 'ws';
import { createCodec } from '../codec/create-codec.js';
import { CloseReason } from '../types.js';
import type { Link } from '../types.js';
import { closeSocket } from './close-socket.js';
import { createPinger } from './create-pinger.js';
import { createSender } from './create-sender.js';
import type { Ticker } from './create-ticker.js';
import type { ResolvedOptions } from './options.js';
import { receiveFrames } from './receive-frames.js';
import { createTrafficCounters } from './create-traffic-counters.js';

/** WebSocket close code of links; the close reason has the details. */
const LINK_CLOSE_CODE = 4000;

/** Result of a successful handshake. */
export interface AuthenticatedConnection {
  ws: WebSocket;
  peer: HelloMessage;
  /** Record structures of the peer's message encoding. */
  peerStructures: string[][];
  /** Address that this process dialed; undefined if the peer dialed. */
  dialedAddress: string | undefined;
  /** Round-trip time measured in the handshake, in milliseconds. */
  rttMs: number;
}

function closeReasonForError(err: NodeJS.ErrnoException): CloseReason {
  if (err.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') return CloseReason.OversizeMessage;
  return err.code?.startsWith('WS_ERR') ? CloseReason.MalformedMessage : CloseReason.PeerGone;
}

/** Creates a link from an authenticated connection. `onClosed` is called once, after `handlers.onClose`. */
export function createLink(
  connection: AuthenticatedConnection,
  options: ResolvedOptions,
  ticker: Ticker,
  onClosed: (link: Link) => void,
): Link {
  const { ws, peer, dialedAddress } = connection;
  const { handlers, logger } = options;
  const codec = createCodec(connection.peerStructures);
  const isDialer = dialedAddress !== undefined;
  const counters = createTrafficCounters(isDialer);
  const onBufferFull = () => terminate(CloseReason.PeerNotReading);
  const sender = createSender({ ws, codec, counters, limits: options, onBufferFull });
  const pinger = createPinger({
    ws,
    counters,
    timing: options,
    ticker,
    isDialer,
    rttMs: connection.rttMs,
    onTimeout: () => terminate(CloseReason.HeartbeatTimeout),
  });
  let closed = false;
  const link: Link = {
    id: randomUUID(),
    peer,
    dialedAddress,
    send,
    close,
    rttMs: pinger.rttMs,
    counters: counters.snapshot,
  };
  const logFields = { link: link.id, peer: peer.id, role: peer.role };

  function onFrame(payloadBytes: number): void {
    pinger.recordActivity();
    counters.countReceivedFrame(payloadBytes);
  }

  function onMalformed(detail: string): void {
    if (!closed) logger.warn('link-message-refused', { ...logFields, detail });
    close(CloseReason.MalformedMessage);
  }

  function deliver(message: LinkMessage): void {
    if (closed) return;
    counters.countReceivedMessage();
    handlers.onMessage(link, message);
  }

  function send(message: LinkMessage): void {
    if (closed) return;
    if (sender.enqueue(message)) return;
    logger.warn('link-message-too-large', { ...logFields, kind: message.kind });
    close(CloseReason.OversizeMessage);
  }

  function markClosed(reason: string): void {
    closed = true;
    pinger.close();
    logger.info('link-closed', { ...logFields, reason });
    handlers.onClose(link, reason);
    onClosed(link);
  }

  function close(reason: string): void {
    if (!closed) sender.flush();
    // The flush may have exceeded the limit on unsent data and terminated the link.
    if (closed) return;
    closeSocket(ws, LINK_CLOSE_CODE, reason);
    markClosed(reason);
  }

  /** Closes without a close frame, because no response from the peer is expected. */
  function terminate(reason: string): void {
    if (closed) return;
    ws.terminate();
    markClosed(reason);
  }

  receiveFrames({ ws, codec, onFrame, onMessage: deliver, onMalformed });
  ws.on('error', (err) => terminate(closeReasonForError(err)));
  ws.on('close', (_code, reason) => terminate(reason.toString('utf8') || CloseReason.PeerGone));
  logger.info('link-opened', { ...logFields, dialedAddress });
  return link;
}
