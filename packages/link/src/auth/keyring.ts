/** Proofs of possession of the fleet key or, during a key rotation, the previous key. */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** Side that creates a proof. Part of the proof, which prevents reflection to its creator. */
export const Prover = {
  Server: 'server',
  Dialer: 'dialer',
} as const;
export type Prover = (typeof Prover)[keyof typeof Prover];

/** Connection data that a proof is bound to. */
export interface ProofContext {
  prover: Prover;
  protocol: number;
  /** Random nonce of the dialer, unique to the connection. */
  dialerNonce: string;
  /** Random nonce of the server, unique to the connection. */
  serverNonce: string;
}

/** Creates and verifies proofs of possession of a fleet key. */
export interface Keyring {
  /** Creates one proof per key, current key first. */
  createProofs(context: ProofContext): string[];
  /** Returns whether the proof matches any key. */
  verifyProof(context: ProofContext, proof: string): boolean;
  /** Returns the first key that matches any of the proofs, or undefined. */
  findKey(context: ProofContext, proofs: string[]): string | undefined;
  /** Returns whether the presented key is one of the keys. Each comparison runs in constant time. */
  hasKey(presentedKey: string): boolean;
}

const CONTEXT_LABEL = 'kingcupsill-link';

/** Computes the HMAC-SHA-256 of the context, base64url-encoded. */
export function createProof(key: string, context: ProofContext): string {
  const { prover, protocol, dialerNonce, serverNonce } = context;
  const fields = [CONTEXT_LABEL, prover, protocol, dialerNonce, serverNonce];
  return createHmac('sha256', key).update(JSON.stringify(fields)).digest('base64url');
}

/** Compares two strings without leaking their contents through timing. */
function constantTimeEqual(left: string, right: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(left), digest(right));
}

/** Creates a keyring from the current key and an optional previous key. */
export function createKeyring(fleetKey: string, fleetKeyPrevious?: string): Keyring {
  const keys = fleetKeyPrevious === undefined ? [fleetKey] : [fleetKey, fleetKeyPrevious];

  const isProvenBy = (key: string, context: ProofContext, proofs: string[]) =>
    proofs.some((proof) => constantTimeEqual(createProof(key, context), proof));

  return {
    createProofs: (context) => keys.map((key) => createProof(key, context)),
    verifyProof: (context, proof) => keys.some((key) => isProvenBy(key, context, [proof])),
    findKey: (context, proofs) => keys.find((key) => isProvenBy(key, context, proofs)),
    hasKey: (presentedKey) => keys.some((key) => constantTimeEqual(key, presentedKey)),
  };
}
