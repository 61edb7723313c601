/** Dialer without the link implementation, for testing the server with invalid handshakes and frames. */
import { once } from 'node:events';
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import { WebSocket } from 'ws';
import { createNonce, HandshakeHeader } from '../../src/auth/handshake.js';
import { Prover, createProof } from '../../src/auth/keyring.js';
import { localStructures } from '../../src/codec/create-codec.js';
import { FLEET_KEY, createHello } from './fixtures.js';

export interface RawOptions {
  protocol?: string;
  nonce?: string;
  autoPong?: boolean;
}

export interface RawDialer {
  ws: WebSocket;
  /** Valid handshake frame for this connection. */
  frame: string;
  /** Resolves with the close code and reason when the connection has closed. */
  closed: Promise<{ code: number; reason: string }>;
}

export async function openRawConnection(
  port: number,
  options: RawOptions = {},
): Promise<RawDialer> {
  const { protocol = String(PROTOCOL_VERSION), nonce = createNonce(), autoPong = true } = options;
  const ws = new WebSocket(`ws://127.0.0.1:${port}/`, {
    headers: { [HandshakeHeader.Protocol]: protocol, [HandshakeHeader.Nonce]: nonce },
    autoPong,
  });
  const closed = new Promise<{ code: number; reason: string }>((resolve) => {
    ws.on('close', (code, reason) => resolve({ code, reason: reason.toString() }));
  });
  ws.on('error', () => {});
  let serverNonce = '';
  ws.on('upgrade', (res) => {
    serverNonce = String(res.headers[HandshakeHeader.Nonce]);
  });
  await Promise.race([once(ws, 'open'), closed]);
  const context = { protocol: PROTOCOL_VERSION, dialerNonce: nonce, serverNonce };
  const proof = createProof(FLEET_KEY, { ...context, prover: Prover.Dialer });
  const frame = JSON.stringify({ hello: createHello('raw'), structures: localStructures, proof });
  return { ws, frame, closed };
}

/** Opens a connection and completes the handshake. */
export async function openRawLink(port: number, options: RawOptions = {}): Promise<RawDialer> {
  const raw = await openRawConnection(port, options);
  raw.ws.send(raw.frame);
  await once(raw.ws, 'message');
  return raw;
}
