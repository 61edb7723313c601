/** Applies the reducer's list of link addresses to the dialer. */
import type { LinkDialer } from '@kingcupsill/link';
import type { Logger } from '@kingcupsill/runtime';

/** Closes links to addresses that are not listed and dials every listed address. */
export function syncLinks(dialer: LinkDialer, addresses: string[], logger: Logger): void {
  const listed = new Set(addresses);
  dialer
    .addresses()
    .filter((address) => !listed.has(address))
    .forEach((address) => dialer.disconnect(address));
  listed.forEach((address) => {
    const outcome = dialer.dial(address);
    if (!outcome.ok) logger.warn('dial-refused', { address, reason: outcome.message });
  });
}
