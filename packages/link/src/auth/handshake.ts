/**
 * Handshake of a link. The upgrade request carries the protocol version and the dialer's nonce; the upgrade response the
 * server's nonce and its proofs, one per key it accepts; the dialer's first frame its own proof. Both nonces are fresh, so a
 * recorded handshake proves nothing later.
 */
import { randomBytes } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { helloSchema, PROTOCOL_VERSION } from '@kingcupsill/core';
import type { Hello } from '@kingcupsill/core';
import { z } from 'zod';
import { RefusalCode } from '../types.js';

/** Headers of the upgrade request and response. */
export const HandshakeHeader = {
  Protocol: 'kc-protocol',
  Nonce: 'kc-nonce',
  Proofs: 'kc-proofs',
  Refused: 'kc-refused',
} as const;

/** WebSocket close code of a refused handshake; its reason is the refusal code. */
export const REFUSED_CLOSE_CODE = 4401;

/** Largest handshake frame in bytes. */
export const MAX_HANDSHAKE_BYTES = 16 * 1024;

const NONCE_BYTES = 24;
const MAX_PROOFS = 4;

const nonceSchema = z.string().regex(/^[\w-]{20,100}$/);
const proofSchema = z.string().regex(/^[\w-]{43}$/);

/** Key lists of the sender's message encoding. */
const structuresSchema = z.array(z.array(z.string().min(1).max(100)).max(100)).max(500);

const introductionSchema = z.object({ hello: helloSchema, structures: structuresSchema });
const dialerFrameSchema = introductionSchema.extend({ proof: proofSchema });

/** What either side says of itself. */
export interface HandshakeFrame {
  hello: Hello;
  structures: string[][];
}

/** First frame of the dialer. */
export interface DialerFrame extends HandshakeFrame {
  proof: string;
}

/** A value, or why the handshake is refused. */
export type HandshakeResult<TValue> =
  { ok: true; value: TValue } | { ok: false; code: RefusalCode; detail: string };

/** Random text for one connection. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64url');
}

function malformed(detail: string): HandshakeResult<never> {
  return { ok: false, code: RefusalCode.MalformedHello, detail };
}

/** Reads the dialer's nonce from an upgrade request. */
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
  return nonce.success ? { ok: true, value: nonce.data } : malformed('no nonce');
}

/** What the server answers to an upgrade request. */
export interface ServerChallenge {
  nonce: string;
  proofs: string[];
}

/** Reads the server's nonce and proofs from an upgrade response. */
export function readChallenge(headers: IncomingHttpHeaders): HandshakeResult<ServerChallenge> {
  const nonce = nonceSchema.safeParse(headers[HandshakeHeader.Nonce]);
  const proofs = String(headers[HandshakeHeader.Proofs] ?? '').split(' ');
  if (!nonce.success || proofs.length > MAX_PROOFS) return malformed('no challenge');
  return { ok: true, value: { nonce: nonce.data, proofs } };
}

function parseFrame<TFrame extends HandshakeFrame>(
  schema: z.ZodType<TFrame>,
  data: Buffer,
): HandshakeResult<TFrame> {
  if (data.length > MAX_HANDSHAKE_BYTES) return malformed('handshake frame too large');
  let json: unknown;
  try {
    json = JSON.parse(data.toString('utf8'));
  } catch {
    return malformed('handshake frame is not JSON');
  }
  const frame = schema.safeParse(json);
  if (!frame.success) return malformed(frame.error.issues[0]!.message);
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
  return parseFrame(introductionSchema, data);
}
