/** Registry of a process's open links, which dispatches link events to its event loop. */
import type { CommonProcessEvent, LinkMessage } from '@kingcupsill/core';
import type { Link, LinkHandlers } from '@kingcupsill/link';

import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

import type { LinkTraffic } from './link-traffic.js';

/** Dependencies of the registry. */
export interface LinkRegistryOptions {
  registry: Registry;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  dispatch(event: CommonProcessEvent): void;
  /** Returns the traffic counters, which are created after the registry. */
  traffic: () => LinkTraffic;
}

/** Open links of a process. */
export interface LinkRegistry {
  /** Handlers for dialers and servers, which add and remove links and dispatch their events. */
  handlers: LinkHandlers;
  links(): Link[];
  /** Sends a message on an open link. Does nothing if the link has closed. */
  send(linkId: string, message: LinkMessage): void;
}

/** Creates an empty registry. */
export function createLinkRegistry(options: LinkRegistryOptions): LinkRegistry {
  const { registry, clock, dispatch, traffic } = options;
  const openLinks = new Map<string, Link>();
  const sentByKind = new Counter({
    name: 'kingcupsill_link_messages_sent_by_kind_total',
    help: 'Messages sent on links, by kind.',
    labelNames: ['kind'],
    registers: [registry],
  });
  return {
    handlers: {
      onOpen(link) {
        openLinks.set(link.id, link);
        dispatch({ kind: 'link-opened', nowMs: clock(), link: link.id, hello: link.peer });
      },
      onMessage(link, message) {
        dispatch({ kind: 'message', nowMs: clock(), link: link.id, message });
      },
      onClose(link) {
        openLinks.delete(link.id);
        traffic().addClosed(link);
        dispatch({ kind: 'link-closed', nowMs: clock(), link: link.id });
      },
    },
    links: () => [...openLinks.values()],
    send(linkId, message) {
      sentByKind.inc({ kind: message.kind });
      openLinks.get(linkId)?.send(message);
    },
  };
}
