/** Token with which routers authenticate at sidecars' attempts interface. */
import { createHmac } from 'node:crypto';

const PURPOSE = 'kingcupsill attempts interface';

/** Derives the token from the fleet key, so that the key itself never travels. */
export function attemptToken(fleetKey: string): string {
  return createHmac('sha256', fleetKey).update(PURPOSE).digest('hex');
}
