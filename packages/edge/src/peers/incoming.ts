/** Links that other routers open to this one. */
import type { Clock, Logger } from '@kingcupsill/runtime';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { listenWhenFree } from '../listen-when-free.js';
import { createSideServer } from '../side-server.js';
import { createOpenLink } from './open-link.js';
import { LINK_TIMEOUT_MS, LinkRole, SOCKET_OPTIONS } from './types.js';
import type { LinkListener, OpenLink } from './types.js';

/** Options of the incoming links. */
export interface IncomingLinksOptions {
  host: string;
  port: number;
  clock: Clock;
  logger: Logger;
  stopping?: AbortSignal;
  /** Maximum number of accepted links; further ones are closed. */
  maxLinks: number;
  /** Maximum number of connections that aren't links yet. */
  maxConnections: number;
  /** Returns whether links of this role are accepted now. */
  accepts: (role: LinkRole) => boolean;
  listeners: Record<LinkRole, LinkListener>;
  nextLinkNumber: () => number;
}

/** Accepted links. */
export interface IncomingLinks {
  /** Terminates links that have timed out and those of roles that aren't accepted any more. */
  check(): void;
  close(): void;
}

interface Peer {
  role: LinkRole;
  /** Name of the router that has opened the link. */
  router: string;
  link: OpenLink;
  lastTrafficMs: number;
}

const UPGRADE_REQUIRED = 426;
/** Application-defined close code of WebSocket: this router isn't a hub. */
const CLOSE_NOT_HUB = 4001;
/** Close code of WebSocket: the server is overloaded. */
const CLOSE_TRY_LATER = 1013;

function parsePath(url: string | undefined): { role: LinkRole; router: string } {
  const [, role, router] = (url ?? '').split('/');
  return {
    role: role === LinkRole.Member ? LinkRole.Member : LinkRole.Hub,
    router: router ?? '',
  };
}

/** Starts the listener. */
export async function createIncomingLinks(options: IncomingLinksOptions): Promise<IncomingLinks> {
  const { clock, logger, listeners } = options;
  const peers = new Map<WebSocket, Peer>();
  const server = new WebSocketServer({ noServer: true, ...SOCKET_OPTIONS });

  /** A router opens its link again when the earlier one has gone silent, which would count its reports twice. */
  function dropEarlier(role: LinkRole, router: string): void {
    peers.forEach((peer, socket) => {
      if (router !== '' && peer.role === role && peer.router === router) socket.terminate();
    });
  }

  function accept(socket: WebSocket, role: LinkRole, router: string): void {
    const link = createOpenLink(socket, `from-${role}:${router}#${options.nextLinkNumber()}`);
    dropEarlier(role, router);
    const peer: Peer = { role, router, link, lastTrafficMs: clock() };
    peers.set(socket, peer);
    socket.on('ping', () => {
      peer.lastTrafficMs = clock();
    });
    socket.on('message', (bytes: Buffer) => {
      peer.lastTrafficMs = clock();
      listeners[role].onMessage(peer.link, bytes);
    });
    socket.on('close', () => {
      peers.delete(socket);
      listeners[role].onClosed(peer.link);
    });
    listeners[role].onOpen(peer.link);
  }

  server.on('connection', (socket, req) => {
    // Each error is followed by a close event.
    socket.on('error', (err) => logger.debug('peer-link-failed', { reason: err.message }));
    const { role, router } = parsePath(req.url);
    if (peers.size >= options.maxLinks) {
      logger.warn('peer-links-full', { limit: options.maxLinks, router });
      socket.close(CLOSE_TRY_LATER);
    } else if (options.accepts(role)) accept(socket, role, router);
    else socket.close(CLOSE_NOT_HUB);
  });
  const httpServer = createSideServer({ ...options, listener: 'peers' }, (_req, res) => {
    res.writeHead(UPGRADE_REQUIRED).end();
  });
  httpServer.on('upgrade', (req, socket, head) => {
    server.handleUpgrade(req, socket, head, (link) => server.emit('connection', link, req));
  });
  const { host, port, stopping } = options;
  const policy = { listener: 'peers', isRequired: false, logger, stopping };
  await listenWhenFree(httpServer, { host, port, ...policy });

  return {
    check() {
      const timedOutBeforeMs = clock() - LINK_TIMEOUT_MS;
      peers.forEach(({ role, lastTrafficMs }, socket) => {
        if (lastTrafficMs < timedOutBeforeMs) socket.terminate();
        else if (!options.accepts(role)) socket.close(CLOSE_NOT_HUB);
      });
    },
    close() {
      peers.forEach((_peer, socket) => socket.terminate());
      server.close();
      httpServer.close();
    },
  };
}
