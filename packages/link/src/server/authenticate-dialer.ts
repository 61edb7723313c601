/** Server's side of the handshake after the upgrade. */
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import type { WebSocket } from 'ws';
import { parseDialerFrame } from '../auth/handshake.js';
import type { DialerFrame, HandshakeResult } from '../auth/handshake.js';
import { Prover } from '../auth/keyring.js';
import type { Keyring } from '../auth/keyring.js';
import { receiveFirstFrame } from '../auth/receive-first-frame.js';
import { localStructures } from '../codec/create-codec.js';
import type { AuthenticatedConnection } from '../connection/create-link.js';
import type { ResolvedOptions } from '../connection/options.js';
import { RefusalCode } from '../types.js';

/** Handshake whose upgrade was accepted and whose dialer isn't authenticated yet. */
export interface PendingHandshake {
  dialerNonce: string;
  serverNonce: string;
  /** Remote address of the dialer. */
  address: string;
}

/** Creates the server's proofs for the upgrade response. */
export function createServerProofs(handshake: PendingHandshake, keyring: Keyring): string[] {
  const { dialerNonce, serverNonce } = handshake;
  return keyring.createProofs({
    prover: Prover.Server,
    protocol: PROTOCOL_VERSION,
    dialerNonce,
    serverNonce,
  });
}

function checkDialer(
  handshake: PendingHandshake,
  keyring: Keyring,
  received: HandshakeResult<Buffer>,
): HandshakeResult<DialerFrame> {
  const frame = received.ok ? parseDialerFrame(received.value) : received;
  if (!frame.ok) return frame;
  const { dialerNonce, serverNonce } = handshake;
  const isProven = keyring.verifyProof(
    { prover: Prover.Dialer, protocol: PROTOCOL_VERSION, dialerNonce, serverNonce },
    frame.value.proof,
  );
  if (isProven) return frame;
  return { ok: false, code: RefusalCode.WrongKey, detail: "the dialer's proof doesn't match" };
}

/** Waits for the dialer's handshake frame, verifies it and responds with the server's. */
export function authenticateDialer(
  ws: WebSocket,
  handshake: PendingHandshake,
  keyring: Keyring,
  options: ResolvedOptions,
  onResult: (result: HandshakeResult<AuthenticatedConnection>) => void,
): void {
  const { clock, hello, logger } = options;
  const startedMs = clock();
  ws.on('error', (err) => logger.debug('link-error', { address: handshake.address, err }));
  receiveFirstFrame(ws, options.handshakeTimeoutMs, (received) => {
    const frame = checkDialer(handshake, keyring, received);
    if (!frame.ok) {
      onResult(frame);
      return;
    }
    ws.send(JSON.stringify({ hello: hello(), structures: localStructures }));
    const value = {
      ws,
      peer: frame.value.hello,
      peerStructures: frame.value.structures,
      dialedAddress: undefined,
      rttMs: clock() - startedMs,
    };
    onResult({ ok: true, value });
  });
}
