/** Dialer that maintains links to a set of addresses. */
import { isLoopbackHost, parseAddress } from '../address.js';
import { createKeyring } from '../auth/keyring.js';
import { createRefusalLog } from '../auth/refusal-log.js';
import { createLinkSet } from '../connection/link-set.js';
import { resolveOptions } from '../connection/options.js';
import { CloseReason } from '../types.js';
import type { DialResult, LinkDialer, LinkDialerOptions } from '../types.js';
import { createPersistentLink } from './create-persistent-link.js';
import type { PersistentLink } from './create-persistent-link.js';

/** Creates a dialer with no addresses. */
export function createLinkDialer(userOptions: LinkDialerOptions): LinkDialer {
  const options = resolveOptions(userOptions);
  const keyring = createKeyring(options.fleetKey, options.fleetKeyPrevious);
  const links = createLinkSet(options);
  const refusals = createRefusalLog(options);
  const persistentLinks = new Map<string, PersistentLink>();

  function checkAddress(address: string): DialResult {
    const parsed = parseAddress(address);
    if (parsed === undefined) {
      return { ok: false, code: 'bad-address', message: `address ${address} isn't host:port` };
    }
    if (options.tls !== undefined || options.allowPlainTcp || isLoopbackHost(parsed.host)) {
      return { ok: true };
    }
    const message = `address ${address} isn't loopback: allow plain TCP or configure TLS`;
    return { ok: false, code: 'plain-tcp-not-allowed', message };
  }

  function dial(address: string): DialResult {
    const result = checkAddress(address);
    if (!result.ok) {
      options.logger.warn('link-not-dialled', { address, code: result.code });
    } else if (!persistentLinks.has(address)) {
      persistentLinks.set(
        address,
        createPersistentLink(address, { options, keyring, links, refusals }),
      );
    }
    return result;
  }

  function remove(address: string, reason: string): void {
    const removed = persistentLinks.get(address);
    persistentLinks.delete(address);
    removed?.close(reason);
  }

  async function close(): Promise<void> {
    [...persistentLinks.keys()].forEach((address) => remove(address, CloseReason.Closed));
    await links.close(CloseReason.Closed);
  }

  return {
    dial,
    disconnect: (address) => remove(address, CloseReason.Disconnected),
    addresses: () => [...persistentLinks.keys()],
    links: links.list,
    counters: links.counters,
    refusals: refusals.counts,
    close,
  };
}
