/** An open link over an authenticated WebSocket: messages, heartbeats, counters, back pressure. */
import { randomUUID } from 'node:crypto';
import type { Hello, LinkMessage } from '@kingcupsill/core';
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

/** WebSocket close code of links; the reason says more. */
const LINK_CLOSE_CODE = 4000;

/** What a handshake gives. */
export interface AuthenticatedConnection {
  ws: WebSocket;
  peer: Hello;
  /** Key lists of the peer's message encoding. */
  peerStructures: string[][];
  /** Address that was dialled; undefined where the peer dialled. */
  dialedAddress: string | undefined;
  /** Round-trip time that the handshake took. */
  rttMs: number;
}

function reasonOfError(err: NodeJS.ErrnoException): CloseReason {
  if (err.code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') return CloseReason.OversizeMessage;
  return err.code?.startsWith('WS_ERR') ? CloseReason.MalformedMessage : CloseReason.PeerGone;
}

/** Takes over a WebSocket whose handshake is done. `onClosed` is called once, after the handlers' own. */
export function createLink(
  connection: AuthenticatedConnection,
  options: ResolvedOptions,
  ticker: Ticker,
  onClosed: (link: Link) => void,
): Link {
  const { ws, peer, dialedAddress } = connection;
  const { handlers, logger } = options;
  const codec = createCodec(connection.peerStructures);
  const dialed = dialedAddress !== undefined;
  const traffic = createTrafficCounters(dialed);
  const onFull = () => cut(CloseReason.PeerNotReading);
  const sender = createSender({ ws, codec, traffic, limits: options, onBufferFull: onFull });
  const pinger = createPinger({
    ws,
    traffic,
    timing: options,
    ticker,
    dialed,
    rttMs: connection.rttMs,
    onTimeout: () => cut(CloseReason.HeartbeatTimeout),
  });
  let closed = false;
  const link: Link = {
    id: randomUUID(),
    peer,
    dialedAddress,
    send,
    close,
    rttMs: pinger.rttMs,
    counters: traffic.counters,
  };
  const logFields = { link: link.id, peer: peer.id, role: peer.role };

  function onFrame(payloadBytes: number): void {
    pinger.recordActivity();
    traffic.countReceivedFrame(payloadBytes);
  }

  function onMalformed(detail: string): void {
    if (!closed) logger.warn('link-message-refused', { ...logFields, detail });
    close(CloseReason.MalformedMessage);
  }

  function deliver(message: LinkMessage): void {
    if (closed) return;
    traffic.countReceivedMessage();
    handlers.onMessage(link, message);
  }

  function send(message: LinkMessage): void {
    if (closed) return;
    if (sender.enqueue(message)) return;
    logger.warn('link-message-too-large', { ...logFields, kind: message.kind });
    close(CloseReason.OversizeMessage);
  }

  function finish(reason: string): void {
    closed = true;
    pinger.close();
    logger.info('link-closed', { ...logFields, reason });
    handlers.onClose(link, reason);
    onClosed(link);
  }

  function close(reason: string): void {
    if (!closed) sender.flush();
    // The flush may have found the peer not to be reading.
    if (closed) return;
    closeSocket(ws, LINK_CLOSE_CODE, reason);
    finish(reason);
  }

  /** Closes without telling the peer, from whom no answer is expected. */
  function cut(reason: string): void {
    if (closed) return;
    ws.terminate();
    finish(reason);
  }

  receiveFrames({ ws, codec, onFrame, onMessage: deliver, onMalformed });
  ws.on('error', (err) => cut(reasonOfError(err)));
  ws.on('close', (_code, reason) => cut(reason.toString('utf8') || CloseReason.PeerGone));
  logger.info('link-opened', { ...logFields, dialedAddress });
  return link;
}
