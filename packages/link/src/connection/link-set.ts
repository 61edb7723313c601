/** The open links of one server or dialer. */
import type { WebSocket } from 'ws';
import type { Link, LinkCounters } from '../types.js';
import { createLink } from './create-link.js';
import type { AuthenticatedConnection } from './create-link.js';
import { createTicker } from './create-ticker.js';
import type { ResolvedOptions } from './options.js';

/** Open links, which leave the set when they close. */
export interface LinkSet {
  open(connection: AuthenticatedConnection, onClosed?: () => void): Link;
  list(): Link[];
  /** Traffic of all links, those that have closed included. */
  counters(): LinkCounters;
  /** Closes all links and resolves when their connections have ended. */
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

/** Creates an empty set. */
export function createLinkSet(options: ResolvedOptions): LinkSet {
  const ticker = createTicker(options.heartbeatIntervalMs);
  const links = new Set<Link>();
  const ends = new Set<Promise<void>>();
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

  function trackEnd(ws: WebSocket): void {
    const end = new Promise<void>((resolve) => {
      ws.once('close', () => {
        ends.delete(end);
        resolve();
      });
    });
    ends.add(end);
  }

  function open(connection: AuthenticatedConnection, onClosed?: () => void): Link {
    trackEnd(connection.ws);
    const link = createLink(connection, options, ticker, (gone) => {
      remove(gone);
      onClosed?.();
    });
    links.add(link);
    options.handlers.onOpen(link);
    return link;
  }

  async function close(reason: string): Promise<void> {
    [...links].forEach((link) => link.close(reason));
    await Promise.all(ends);
  }

  return {
    open,
    list: () => [...links],
    counters: () =>
      [...links].reduce((sum, link) => addCounters(sum, link.counters()), closedCounters),
    close,
  };
}
