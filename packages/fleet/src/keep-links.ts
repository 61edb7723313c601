/** Brings a dialer's addresses in line with what the reducer wants. */
import type { LinkDialer } from '@kingcupsill/link';
import type { Logger } from '@kingcupsill/runtime';

/** Dials what is new and hangs up what is no longer wanted. */
export function keepLinks(dialer: LinkDialer, addresses: string[], logger: Logger): void {
  const wanted = new Set(addresses);
  dialer
    .addresses()
    .filter((address) => !wanted.has(address))
    .forEach((address) => dialer.disconnect(address));
  wanted.forEach((address) => {
    const outcome = dialer.dial(address);
    if (!outcome.ok) logger.warn('dial-refused', { address, reason: outcome.message });
  });
}
