/** Feeds what happens on links into a process's loop. */
import type { CommonProcessEvent, LinkMessage } from '@kingcupsill/core';
import type { Link, LinkHandlers } from '@kingcupsill/link';

import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

import type { LinkTraffic } from './link-metrics.js';

/** What the feed needs. */
export interface LinkFeedOptions {
  registry: Registry;
  clock(): number;
  dispatch(event: CommonProcessEvent): void;
  traffic: () => LinkTraffic;
}

/** Open links of a process and the handlers that keep them. */
export interface LinkFeed {
  handlers: LinkHandlers;
  links(): Link[];
  /** Sends on an open link; a link that has closed meanwhile is passed over. */
  send(link: string, message: LinkMessage): void;
}

/** Creates the feed. */
export function createLinkFeed(options: LinkFeedOptions): LinkFeed {
  const { registry, clock, dispatch, traffic } = options;
  const open = new Map<string, Link>();
  const sentByKind = new Counter({
    name: 'kingcupsill_link_messages_sent_by_kind_total',
    help: 'Messages sent on links, by kind.',
    labelNames: ['kind'],
    registers: [registry],
  });
  return {
    handlers: {
      onOpen(link) {
        open.set(link.id, link);
        dispatch({ kind: 'link-opened', nowMs: clock(), link: link.id, hello: link.peer });
      },
      onMessage(link, message) {
        dispatch({ kind: 'message', nowMs: clock(), link: link.id, message });
      },
      onClose(link) {
        open.delete(link.id);
        traffic().closed(link);
        dispatch({ kind: 'link-closed', nowMs: clock(), link: link.id });
      },
    },
    links: () => [...open.values()],
    send(link, message) {
      sentByKind.inc({ kind: message.kind });
      open.get(link)?.send(message);
    },
  };
}
