/** Keeps one address linked: connects, and connects again after a failure or a closed link. */
import type { Keyring } from '../auth/keyring.js';
import type { RefusalLog } from '../auth/refusal-log.js';
import type { LinkSet } from '../connection/link-set.js';
import type { ResolvedOptions } from '../connection/options.js';
import { RefusalCode } from '../types.js';
import type { Link, LinkDialerOptions } from '../types.js';
import { backoffMs } from './backoff.js';
import { connect } from './connect.js';
import type { ConnectResult, ConnectAttempt } from './connect.js';

/** What all addresses of a dialer share. */
export interface DialerContext {
  options: ResolvedOptions<LinkDialerOptions>;
  keyring: Keyring;
  links: LinkSet;
  refusals: RefusalLog;
}

/** An address that is kept linked. */
export interface PersistentLink {
  /** Closes its link and connects no more. */
  close(reason: string): void;
}

/** Starts to connect to an address. */
export function createPersistentLink(address: string, parts: DialerContext): PersistentLink {
  const { options, keyring, links, refusals } = parts;
  let failures = 0;
  let connecting: ConnectAttempt | undefined;
  let link: Link | undefined;
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  function attempt(): void {
    connecting = connect(address, keyring, options, (outcome) => {
      connecting = undefined;
      if (!closed) takeOutcome(outcome);
      else if (outcome.ok) outcome.value.ws.terminate();
    });
  }

  function takeOutcome(outcome: ConnectResult): void {
    if (!outcome.ok) {
      reportFailure(outcome.code, outcome.detail);
      retryLater();
      return;
    }
    failures = 0;
    link = links.open(outcome.value, () => {
      link = undefined;
      if (!closed) retryLater();
    });
  }

  /** A server that can't be reached has refused nothing. */
  function reportFailure(code: RefusalCode, detail: string): void {
    if (code !== RefusalCode.ConnectionLost) refusals.add({ code, address, detail });
    else options.logger.debug('link-dial-failed', { address, detail });
  }

  function retryLater(): void {
    timer = setTimeout(attempt, backoffMs(failures, options.random(), options.backoff));
    failures += 1;
  }

  function close(reason: string): void {
    closed = true;
    clearTimeout(timer);
    connecting?.abort();
    link?.close(reason);
  }

  attempt();
  return { close };
}
