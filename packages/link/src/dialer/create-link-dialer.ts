/** Keeps links to a set of addresses. */
import { isLoopbackHost, parseAddress } from '../address.js';
import { createKeyring } from '../auth/keyring.js';
import { createRefusalLog } from '../auth/refusal-log.js';
import { createLinkSet } from '../connection/link-set.js';
import { resolveOptions } from '../connection/options.js';
import { CloseReason } from '../types.js';
import type { DialResult, LinkDialer, LinkDialerOptions } from '../types.js';
import { createPersistentLink } from './create-persistent-link.js';
import type { PersistentLink } from './create-persistent-link.js';

/** Creates a dialer without addresses. */
export function createLinkDialer(given: LinkDialerOptions): LinkDialer {
  const options = resolveOptions(given);
  const keyring = createKeyring(options.fleetKey, options.fleetKeyPrevious);
  const links = createLinkSet(options);
  const refusals = createRefusalLog(options);
  const kept = new Map<string, PersistentLink>();

  function checkAddress(address: string): DialResult {
    const parsed = parseAddress(address);
    if (parsed === undefined) {
      return { ok: false, code: 'bad-address', message: `${address} isn't host:port` };
    }
    if (options.tls !== undefined || options.allowPlainTcp || isLoopbackHost(parsed.host)) {
      return { ok: true };
    }
    const message = `${address} isn't loopback: plain TCP must be allowed or TLS set`;
    return { ok: false, code: 'plain-tcp-not-allowed', message };
  }

  function dial(address: string): DialResult {
    const checked = checkAddress(address);
    if (!checked.ok) {
      options.logger.warn('link-not-dialled', { address, code: checked.code });
    } else if (!kept.has(address)) {
      kept.set(address, createPersistentLink(address, { options, keyring, links, refusals }));
    }
    return checked;
  }

  function drop(address: string, reason: string): void {
    const dropped = kept.get(address);
    kept.delete(address);
    dropped?.close(reason);
  }

  async function close(): Promise<void> {
    [...kept.keys()].forEach((address) => drop(address, CloseReason.Closed));
    await links.close(CloseReason.Closed);
  }

  return {
    dial,
    disconnect: (address) => drop(address, CloseReason.Disconnected),
    addresses: () => [...kept.keys()],
    links: links.list,
    counters: links.counters,
    refusals: refusals.counts,
    close,
  };
}
