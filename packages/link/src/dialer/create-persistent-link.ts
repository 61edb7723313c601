/** Link to one address that reconnects after a failed attempt or a closed link. */
import type { Keyring } from '../auth/keyring.js';
import type { RefusalLog } from '../auth/refusal-log.js';
import type { LinkSet } from '../connection/link-set.js';
import type { ResolvedOptions } from '../connection/options.js';
import { RefusalCode } from '../types.js';
import type { Link, LinkDialerOptions } from '../types.js';
import { backoffMs } from './backoff.js';
import { connect } from './connect.js';
import type { ConnectResult, ConnectAttempt } from './connect.js';

/** State shared by all addresses of a dialer. */
export interface DialerContext {
  options: ResolvedOptions<LinkDialerOptions>;
  keyring: Keyring;
  links: LinkSet;
  refusals: RefusalLog;
}

/** Link to one address that reconnects until closed. */
export interface PersistentLink {
  /** Closes the link and stops reconnecting. */
  close(reason: string): void;
}

/** Starts the first attempt to connect to an address. */
export function createPersistentLink(address: string, context: DialerContext): PersistentLink {
  const { options, keyring, links, refusals } = context;
  let failures = 0;
  let attempt: ConnectAttempt | undefined;
  let link: Link | undefined;
  let retryTimer: NodeJS.Timeout | undefined;
  let closed = false;

  function startAttempt(): void {
    attempt = connect(address, keyring, options, (result) => {
      attempt = undefined;
      if (!closed) handleResult(result);
      else if (result.ok) result.value.ws.terminate();
    });
  }

  function handleResult(result: ConnectResult): void {
    if (!result.ok) {
      reportFailure(result.code, result.detail);
      scheduleRetry();
      return;
    }
    failures = 0;
    link = links.open(result.value, () => {
      link = undefined;
      if (!closed) scheduleRetry();
    });
  }

  /** Records a refusal; a lost connection is only logged, since an unreachable server hasn't refused the handshake. */
  function reportFailure(code: RefusalCode, detail: string): void {
    if (code !== RefusalCode.ConnectionLost) refusals.add({ code, address, detail });
    else options.logger.debug('link-dial-failed', { address, detail });
  }

  function scheduleRetry(): void {
    retryTimer = setTimeout(startAttempt, backoffMs(failures, options.random(), options.backoff));
    failures += 1;
  }

  function close(reason: string): void {
    closed = true;
    clearTimeout(retryTimer);
    attempt?.abort();
    link?.close(reason);
  }

  startAttempt();
  return { close };
}
