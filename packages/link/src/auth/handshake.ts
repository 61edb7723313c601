/**
 * Link handshake. The upgrade request carries the protocol version and the dialer's nonce. The upgrade response carries the
 * server's nonce and one proof per key that the server accepts. The dialer's first frame carries the dialer's proof. Fresh
 * nonces for each connection prevent replay of a recorded handshake.
 */
import { randomBytes } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { helloSchema, PROTOCOL_VERSION } from '@kingcupsill/core';
import type { HelloMessage } from '@kingcupsill/core';
import { z } from 'zod';
import { RefusalCode } from '../types.js';

/** Names of the handshake headers in the upgrade request and response. */
export const HandshakeHeader = {
  Protocol: 'kc-protocol',
  Nonce: 'kc-nonce',
  Proofs: 'kc-proofs',
  Refused: 'kc-refused',
} as const;

/** WebSocket close code for a refused handshake; the close reason is the refusal code. */
export const REFUSED_CLOSE_CODE = 4401;

/** Maximum size of a handshake frame in bytes. */
export const MAX_HANDSHAKE_BYTES = 16 * 1024;

const NONCE_BYTES = 24;
const MAX_PROOFS = 4;

const nonceSchema = z.string().regex(/^[\w-]{20,100}$/);
const proofSchema = z.string().regex(/^[\w-]{43}$/);

/** Record structures of the sender's message encoding. */
const structuresSchema = z.array(z.array(z.string().min(1).max(100)).max(100)).max(500);

const handshakeFrameSchema = z.object({ hello: helloSchema, structures: structuresSchema });
const dialerFrameSchema = handshakeFrameSchema.extend({ proof: proofSchema });

/** First frame of the server, and the common part of both sides' first frames. */
export interface HandshakeFrame {
  hello: HelloMessage;
  /** Record structures (key lists) of the sender's message encoding. */
  structures: string[][];
}

/** First frame of the dialer. */
export interface DialerFrame extends HandshakeFrame {
  proof: string;
}

/** Result of a handshake step: a value, or the reason for refusal. */
export type HandshakeResult<TValue> =
  { ok: true; value: TValue } | { ok: false; code: RefusalCode; detail: string };

/** Creates a random nonce, base64url-encoded. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64url');
}

function malformedHandshake(detail: string): HandshakeResult<never> {
  return { ok: false, code: RefusalCode.MalformedHello, detail };
}

/** Checks the protocol version of an upgrade request and returns the dialer's nonce. */
export function readDialerNonce(headers: IncomingHttpHeaders): HandshakeResult<string> {
  const protocol = headers[HandshakeHeader.Protocol];
  if (protocol !== String(PROTOCOL_VERSION)) {
    return {
      ok: false,
      code: RefusalCode.UnknownProtocol,
      detail: `protocol ${String(protocol)}, ours is ${PROTOCOL_VERSION}`,
    };
  }
  const nonce = nonceSchema.safeParse(headers[HandshakeHeader.Nonce]);
  return nonce.success ? { ok: true, value: nonce.data } : malformedHandshake('no nonce');
}

/** Nonce and proofs in the server's upgrade response. */
export interface ServerChallenge {
  nonce: string;
  proofs: string[];
}

/** Returns the server's nonce and proofs from an upgrade response. */
export function readChallenge(headers: IncomingHttpHeaders): HandshakeResult<ServerChallenge> {
  const nonce = nonceSchema.safeParse(headers[HandshakeHeader.Nonce]);
  const proofs = String(headers[HandshakeHeader.Proofs] ?? '').split(' ');
  if (!nonce.success || proofs.length > MAX_PROOFS) return malformedHandshake('no challenge');
  return { ok: true, value: { nonce: nonce.data, proofs } };
}

function parseFrame<TFrame extends HandshakeFrame>(
  schema: z.ZodType<TFrame>,
  data: Buffer,
): HandshakeResult<TFrame> {
  if (data.length > MAX_HANDSHAKE_BYTES) return malformedHandshake('handshake frame too large');
  let json: unknown;
  try {
    json = JSON.parse(data.toString('utf8'));
  } catch {
    return malformedHandshake('handshake frame is not JSON');
  }
  const frame = schema.safeParse(json);
  if (!frame.success) return malformedHandshake(frame.error.issues[0]!.message);
  if (frame.data.hello.protocol === PROTOCOL_VERSION) return { ok: true, value: frame.data };
  const detail = `protocol ${frame.data.hello.protocol}, ours is ${PROTOCOL_VERSION}`;
  return { ok: false, code: RefusalCode.UnknownProtocol, detail };
}

/** Parses the dialer's first frame. */
export function parseDialerFrame(data: Buffer): HandshakeResult<DialerFrame> {
  return parseFrame(dialerFrameSchema, data);
}

/** Parses the server's first frame. */
export function parseServerFrame(data: Buffer): HandshakeResult<HandshakeFrame> {
  return parseFrame(handshakeFrameSchema, data);
}
