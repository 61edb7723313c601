/** Parts that routers and sidecars compose alike. */
import type { CommonProcessEvent, ConfigStoreEvent } from '@kingcupsill/core';
import { createConfigStore, createInstanceClient, createObjectClient } from '@kingcupsill/platform';
import type { Logger, ComponentDefinition } from '@kingcupsill/runtime';
import type { Registry } from 'prom-client';

import { createConfigPolls } from './config-polls.js';
import type { ConfigPolls } from './config-polls.js';
import { createLinkFeed } from './link-feed.js';
import type { LinkFeed } from './link-feed.js';
import { createLinkTraffic } from './link-metrics.js';
import type { LinkTraffic } from './link-metrics.js';
import { createMembership } from './membership.js';
import type { Repetition } from './repeat.js';

/** What the shared parts need of the binary's frame. */
export interface SharedContext {
  settings: { platform: { url: string } };
  registry: Registry;
  logger: Logger;
  clock(): number;
}

/** The shared parts, and the loop that they feed. */
export interface SharedParts {
  loop: { dispatch(event: CommonProcessEvent | ConfigStoreEvent): void };
  linkFeed: LinkFeed;
  traffic: LinkTraffic;
  configPolls: ConfigPolls;
  membership: Repetition;
}

/** Rows of a part table for the shared parts. */
export interface SharedPartTable<TParts> {
  linkFeed: ComponentDefinition<TParts, LinkFeed>;
  traffic: ComponentDefinition<TParts, LinkTraffic>;
  configPolls: ComponentDefinition<TParts, ConfigPolls>;
  membership: ComponentDefinition<TParts, Repetition>;
}

function configPollsPart(ctx: SharedContext): ComponentDefinition<SharedParts, ConfigPolls> {
  const { settings, logger, clock } = ctx;
  const objects = createObjectClient({ url: settings.platform.url });
  return {
    create: (parts) =>
      createConfigPolls({
        store: createConfigStore({ objects }),
        logger,
        clock,
        dispatch: (event) => parts.loop.dispatch(event),
      }),
    close: (polls) => polls.close(),
  };
}

function membershipPart({
  settings,
  clock,
}: SharedContext): ComponentDefinition<SharedParts, Repetition> {
  return {
    create: ({ loop }) =>
      createMembership({
        instances: createInstanceClient({ url: settings.platform.url }),
        onRouters: (routers) => loop.dispatch({ kind: 'routers-listed', nowMs: clock(), routers }),
      }),
    close: (membership) => membership.close(),
  };
}

/** Rows for links, configuration and membership. Parts are read when they are first used. */
export function sharedPartTable(ctx: SharedContext): SharedPartTable<SharedParts> {
  const { registry, clock } = ctx;
  return {
    linkFeed: {
      create: (parts) =>
        createLinkFeed({
          registry,
          clock,
          dispatch: (event) => parts.loop.dispatch(event),
          traffic: () => parts.traffic,
        }),
    },
    traffic: { create: ({ linkFeed }) => createLinkTraffic(registry, linkFeed.links) },
    configPolls: configPollsPart(ctx),
    membership: membershipPart(ctx),
  };
}
