/** The sidecar's links to routers. */
import { PROTOCOL_VERSION, distanceBetween } from '@kingcupsill/core';
import type { Hello } from '@kingcupsill/core';
import type { Link, LinkDialer, LinkHandlers, LinkTls } from '@kingcupsill/link';
import { createLinkDialer } from '@kingcupsill/link';

import type { SidecarContext, SidecarParts } from './types.js';

/** Creates the dialer; its links feed the loop. */
export function createSidecarDialer(
  ctx: SidecarContext,
  tls: LinkTls | undefined,
  parts: SidecarParts,
): LinkDialer {
  const { link } = ctx.settings;
  return createLinkDialer({
    fleetKey: link.fleetKey,
    fleetKeyPrevious: link.fleetKeyPrevious,
    tls,
    allowPlainTcp: link.allowPlainTcp,
    logger: ctx.logger,
    clock: ctx.clock,
    random: Math.random,
    hello: () => helloOf(ctx, parts),
    handlers: linkHandlers(ctx, parts),
  });
}

function helloOf(ctx: SidecarContext, parts: SidecarParts): Hello {
  const { process: self, backend, data } = ctx.settings;
  return {
    kind: 'hello',
    protocol: PROTOCOL_VERSION,
    role: 'sidecar',
    id: self.id,
    incarnation: ctx.incarnation,
    zone: self.zone,
    region: self.region,
    configVersion: parts.follower.config().version,
    dataUrl: `http://${data.host}:${parts.ports.data}`,
    backend: backend.id,
    pool: parts.loop.state().options.pool,
  };
}

function linkHandlers(ctx: SidecarContext, parts: SidecarParts): LinkHandlers {
  const { clock, settings } = ctx;

  function onOpen(opened: Link): void {
    parts.links.set(opened.id, opened);
    const { id: router, incarnation } = opened.peer;
    parts.loop.dispatch({
      kind: 'link-opened',
      nowMs: clock(),
      link: opened.id,
      router,
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
      parts.loop.dispatch({ kind: 'link-closed', nowMs: clock(), link: closed.id });
    },
  };
}
