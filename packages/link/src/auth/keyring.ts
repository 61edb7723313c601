/** The fleet key and, during a rotation, the key before it. */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** Who proves knowledge of the key; keeps a proof from being sent back to its maker. */
export const Prover = {
  Server: 'server',
  Dialer: 'dialer',
} as const;
export type Prover = (typeof Prover)[keyof typeof Prover];

/** What a proof is bound to. */
export interface ProofContext {
  prover: Prover;
  protocol: number;
  /** Random text of the dialer, fresh for each connection. */
  dialerNonce: string;
  /** Random text of the server, fresh for each connection. */
  serverNonce: string;
}

/** Makes and checks proofs that a process knows a fleet key. */
export interface Keyring {
  /** One proof per key, the current one's first. */
  createProofs(context: ProofContext): string[];
  /** Whether any key of the ring made the proof. */
  verifyProof(context: ProofContext, proof: string): boolean;
  /** The first key of the ring that made any of the proofs; undefined when none did. */
  findKey(context: ProofContext, proofs: string[]): string | undefined;
  /** Whether a presented key is one of the ring, in constant time. */
  hasKey(presentedKey: string): boolean;
}

const CONTEXT_LABEL = 'kingcupsill-link';

/** HMAC-SHA-256 over the context, in base64url. */
export function createProof(key: string, context: ProofContext): string {
  const { prover, protocol, dialerNonce, serverNonce } = context;
  const fields = [CONTEXT_LABEL, prover, protocol, dialerNonce, serverNonce];
  return createHmac('sha256', key).update(JSON.stringify(fields)).digest('base64url');
}

/** Compares texts in time that depends on neither. */
function equalTexts(first: string, second: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(first), digest(second));
}

/** Creates a keyring from the current key and, optionally, the previous one. */
export function createKeyring(fleetKey: string, fleetKeyPrevious?: string): Keyring {
  const keys = fleetKeyPrevious === undefined ? [fleetKey] : [fleetKey, fleetKeyPrevious];

  const madeBy = (key: string, context: ProofContext, proofs: string[]) =>
    proofs.some((proof) => equalTexts(createProof(key, context), proof));

  return {
    createProofs: (context) => keys.map((key) => createProof(key, context)),
    verifyProof: (context, proof) => keys.some((key) => madeBy(key, context, [proof])),
    findKey: (context, proofs) => keys.find((key) => madeBy(key, context, proofs)),
    hasKey: (presentedKey) => keys.some((key) => equalTexts(key, presentedKey)),
  };
}
