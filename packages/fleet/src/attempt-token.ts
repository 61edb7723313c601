/** Token by which routers authenticate to the attempts API of sidecars. */
import { createHmac, timingSafeEqual } from 'node:crypto';

const TOKEN_CONTEXT = 'kingcupsill attempts interface';

/** Derives the token from the fleet key, so that the key itself is never sent. */
export function deriveAttemptToken(fleetKey: string): string {
  return createHmac('sha256', fleetKey).update(TOKEN_CONTEXT).digest('hex');
}

/** Creates a function that compares a token with those of all accepted fleet keys in constant time. */
export function createTokenVerifier(fleetKeys: string[]): (token: string) => boolean {
  const accepted = fleetKeys.map((key) => Buffer.from(deriveAttemptToken(key)));
  return (token) => {
    const bytes = Buffer.from(token);
    // No early exit: the duration must not depend on which key matches.
    const matches = accepted.map((expected) => tokensEqual(expected, bytes));
    return matches.includes(true);
  };
}

function tokensEqual(expected: Buffer, actual: Buffer): boolean {
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
