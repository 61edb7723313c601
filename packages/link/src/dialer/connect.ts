/** One attempt to open a link: connection and the dialer's side of the handshake. */
import type { IncomingMessage } from 'node:http';
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import { WebSocket } from 'ws';
import {
  createNonce,
  HandshakeHeader,
  parseServerFrame,
  readChallenge,
} from '../auth/handshake.js';
import type { HandshakeResult, ServerChallenge } from '../auth/handshake.js';
import { Prover, createProof } from '../auth/keyring.js';
import type { Keyring, ProofContext } from '../auth/keyring.js';
import { receiveFirstFrame, refuseHandshake } from '../auth/receive-first-frame.js';
import { localStructures } from '../codec/create-codec.js';
import type { AuthenticatedConnection } from '../connection/create-link.js';
import type { ResolvedOptions } from '../connection/options.js';
import { RefusalCode } from '../types.js';

const REFUSAL_CODES: ReadonlySet<string> = new Set(Object.values(RefusalCode));

/** Error codes of Node for a certificate, local or of the peer, that was not accepted. */
const CERTIFICATE_ERROR = /CERT|ERR_SSL_TLSV1_ALERT|UNABLE_TO_|ERR_SSL_SSLV3_ALERT/;

/** Result of one attempt. */
export type ConnectResult = HandshakeResult<AuthenticatedConnection>;

/** A connection attempt in progress. */
export interface ConnectAttempt {
  /** Terminates the connection. The result is still reported. */
  abort(): void;
}

function openSocket(address: string, nonce: string, options: ResolvedOptions): WebSocket {
  const { tls } = options;
  const scheme = tls === undefined ? 'ws' : 'wss';
  return new WebSocket(`${scheme}://${address}/`, {
    headers: {
      [HandshakeHeader.Protocol]: String(PROTOCOL_VERSION),
      [HandshakeHeader.Nonce]: nonce,
    },
    handshakeTimeout: options.handshakeTimeoutMs,
    maxPayload: options.maxMessageBytes,
    perMessageDeflate: false,
    ...tls,
    // Instances are dialed by IP address, so host names aren't checked; a certificate signed by the fleet's CA is sufficient.
    ...(tls && { checkServerIdentity: () => undefined }),
  });
}

function resultForResponse(res: IncomingMessage): HandshakeResult<never> {
  const refusedWith = String(res.headers[HandshakeHeader.Refused] ?? '');
  const code = REFUSAL_CODES.has(refusedWith)
    ? (refusedWith as RefusalCode)
    : RefusalCode.MalformedHello;
  return { ok: false, code, detail: `status ${res.statusCode}` };
}

function refusalCodeForError(err: NodeJS.ErrnoException): RefusalCode {
  return CERTIFICATE_ERROR.test(err.code ?? '')
    ? RefusalCode.UntrustedCertificate
    : RefusalCode.ConnectionLost;
}

/** Verifies the server's proofs and creates the dialer's proof with the key that matched. */
function answerChallenge(
  keyring: Keyring,
  dialerNonce: string,
  challenge: ServerChallenge,
): HandshakeResult<string> {
  const context: ProofContext = {
    prover: Prover.Server,
    protocol: PROTOCOL_VERSION,
    dialerNonce,
    serverNonce: challenge.nonce,
  };
  const key = keyring.findKey(context, challenge.proofs);
  if (key !== undefined) {
    return { ok: true, value: createProof(key, { ...context, prover: Prover.Dialer }) };
  }
  return { ok: false, code: RefusalCode.WrongKey, detail: "the server's proof doesn't match" };
}

/** Starts an attempt. `onResult` is called once. */
export function connect(
  address: string,
  keyring: Keyring,
  options: ResolvedOptions,
  onResult: (result: ConnectResult) => void,
): ConnectAttempt {
  const { clock, logger } = options;
  const nonce = createNonce();
  const ws = openSocket(address, nonce, options);
  let challenge: HandshakeResult<ServerChallenge> | undefined;
  let done = false;

  function finish(result: ConnectResult): void {
    if (done) return;
    done = true;
    if (!result.ok) refuseHandshake(ws, result.code);
    onResult(result);
  }

  function sendHandshake(): void {
    const proof = challenge?.ok ? answerChallenge(keyring, nonce, challenge.value) : challenge;
    if (proof === undefined || !proof.ok) {
      finish(proof ?? { ok: false, code: RefusalCode.MalformedHello, detail: 'no challenge' });
      return;
    }
    const startedMs = clock();
    const handshakeFrame = { hello: options.hello(), structures: localStructures };
    ws.send(JSON.stringify({ ...handshakeFrame, proof: proof.value }));
    receiveFirstFrame(ws, options.handshakeTimeoutMs, (received) => {
      const frame = received.ok ? parseServerFrame(received.value) : received;
      if (!frame.ok) {
        finish(frame);
        return;
      }
      const { hello, structures } = frame.value;
      const rttMs = clock() - startedMs;
      finish({
        ok: true,
        value: { ws, peer: hello, peerStructures: structures, dialedAddress: address, rttMs },
      });
    });
  }

  ws.on('upgrade', (res) => {
    challenge = readChallenge(res.headers);
  });
  ws.on('unexpected-response', (_req, res) => finish(resultForResponse(res)));
  ws.on('open', sendHandshake);
  ws.on('error', (err: NodeJS.ErrnoException) => {
    logger.debug('link-error', { address, err });
    finish({ ok: false, code: refusalCodeForError(err), detail: err.message });
  });
  return { abort: () => ws.terminate() };
}
