/** The router's links from sidecars and other routers. */
import { PROTOCOL_VERSION, distanceBetween } from '@kingcupsill/core';
import type { Hello } from '@kingcupsill/core';
import type { Link, LinkHandlers, LinkServer, LinkTls } from '@kingcupsill/link';
import { createLinkServer } from '@kingcupsill/link';

import type { RouterContext, RouterParts } from './types.js';

/** Listens for links; they feed the loop. */
export function createRouterLinkServer(
  ctx: RouterContext,
  tls: LinkTls | undefined,
  parts: RouterParts,
): Promise<LinkServer> {
  const { link } = ctx.settings;
  return createLinkServer({
    host: link.host,
    port: link.port,
    fleetKey: link.fleetKey,
    fleetKeyPrevious: link.fleetKeyPrevious,
    tls,
    allowPlainTcp: link.allowPlainTcp,
    logger: ctx.logger,
    clock: ctx.clock,
    hello: () => helloOf(ctx, parts),
    handlers: linkHandlers(ctx, parts),
  });
}

function helloOf({ settings, incarnation }: RouterContext, parts: RouterParts): Hello {
  const { id, zone, region } = settings.process;
  return {
    kind: 'hello',
    protocol: PROTOCOL_VERSION,
    role: 'router',
    id,
    incarnation,
    zone,
    region,
    configVersion: parts.directory.now.version,
  };
}

function linkHandlers(ctx: RouterContext, parts: RouterParts): LinkHandlers {
  const { clock, settings } = ctx;

  function onOpen(opened: Link): void {
    parts.links.set(opened.id, opened);
    const { role, dataUrl, backend, pool, incarnation } = opened.peer;
    if (role !== 'sidecar' || !dataUrl || !backend || !pool) return;
    parts.loop.dispatch({
      kind: 'sidecar-linked',
      nowMs: clock(),
      link: opened.id,
      backend,
      pool,
      dataUrl,
      incarnation,
      distance: distanceBetween(settings.process, opened.peer),
    });
  }

  return {
    onOpen,
    onMessage(from, message) {
      parts.loop.dispatch({ kind: 'message', nowMs: clock(), link: from.id, message });
    },
    onClose(closed) {
      parts.links.delete(closed.id);
      parts.traffic.closed(closed);
      parts.loop.dispatch({ kind: 'sidecar-unlinked', nowMs: clock(), link: closed.id });
    },
  };
}
