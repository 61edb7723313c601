/** Open links of one server or dialer. */
import type { WebSocket } from 'ws';
import type { Link, LinkCounters } from '../types.js';
import { createLink } from './create-link.js';
import type { AuthenticatedConnection } from './create-link.js';
import { createTicker } from './create-ticker.js';
import type { ResolvedOptions } from './options.js';

/** Set of open links; closed links are removed. */
export interface LinkSet {
  /** Creates a link, adds it and calls `onOpen`. `onClosed` is called once, after its removal. */
  open(connection: AuthenticatedConnection, onClosed?: () => void): Link;
  list(): Link[];
  /** Total traffic of open and closed links. */
  counters(): LinkCounters;
  /** Closes all links. Resolves when their connections have closed. */
  close(reason: string): Promise<void>;
}

function addCounters(first: LinkCounters, second: LinkCounters): LinkCounters {
  return {
    bytesSent: first.bytesSent + second.bytesSent,
    bytesReceived: first.bytesReceived + second.bytesReceived,
    messagesSent: first.messagesSent + second.messagesSent,
    messagesReceived: first.messagesReceived + second.messagesReceived,
  };
}

/** Creates an empty link set. */
export function createLinkSet(options: ResolvedOptions): LinkSet {
  const ticker = createTicker(options.heartbeatIntervalMs);
  const links = new Set<Link>();
  const pendingCloses = new Set<Promise<void>>();
  let closedCounters: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };

  function remove(link: Link): void {
    links.delete(link);
    closedCounters = addCounters(closedCounters, link.counters());
  }

  function trackClose(ws: WebSocket): void {
    const closed = new Promise<void>((resolve) => {
      ws.once('close', () => {
        pendingCloses.delete(closed);
        resolve();
      });
    });
    pendingCloses.add(closed);
  }

  function open(connection: AuthenticatedConnection, onClosed?: () => void): Link {
    trackClose(connection.ws);
    const link = createLink(connection, options, ticker, (closedLink) => {
      remove(closedLink);
      onClosed?.();
    });
    links.add(link);
    options.handlers.onOpen(link);
    return link;
  }

  async function close(reason: string): Promise<void> {
    [...links].forEach((link) => link.close(reason));
    await Promise.all(pendingCloses);
  }

  return {
    open,
    list: () => [...links],
    counters: () =>
      [...links].reduce((sum, link) => addCounters(sum, link.counters()), closedCounters),
    close,
  };
}
