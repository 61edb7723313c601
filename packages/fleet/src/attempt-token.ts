/** Token with which routers authenticate at sidecars' attempts interface. */
import { createHmac, timingSafeEqual } from 'node:crypto';

const PURPOSE = 'kingcupsill attempts interface';

/** Derives the token from the fleet key, so that the key itself never travels. */
export function deriveAttemptToken(fleetKey: string): string {
  return createHmac('sha256', fleetKey).update(PURPOSE).digest('hex');
}

/** Creates the check of a shown token against those of all accepted fleet keys, in constant time. */
export function createTokenVerifier(fleetKeys: string[]): (shown: string) => boolean {
  const accepted = fleetKeys.map((key) => Buffer.from(deriveAttemptToken(key)));
  return (shown) => {
    const bytes = Buffer.from(shown);
    const matches = accepted.map((token) => isSame(token, bytes));
    return matches.includes(true);
  };
}

function isSame(token: Buffer, shown: Buffer): boolean {
  return token.length === shown.length && timingSafeEqual(token, shown);
}
