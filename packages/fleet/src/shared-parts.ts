/** Process parts common to routers and sidecars. */
import type { CommonProcessEvent, ConfigStoreEvent } from '@kingcupsill/core';
import { createConfigStore, createInstanceClient, createObjectClient } from '@kingcupsill/platform';
import type { Logger, ComponentDefinition } from '@kingcupsill/runtime';
import type { Registry } from 'prom-client';

import { createConfigPoller } from './config-poller.js';
import type { ConfigPoller } from './config-poller.js';
import { createLinkRegistry } from './link-registry.js';
import type { LinkRegistry } from './link-registry.js';
import { createLinkTraffic } from './link-traffic.js';
import type { LinkTraffic } from './link-traffic.js';
import { startMembershipPolling } from './membership-polling.js';
import type { PeriodicTask } from './periodic-task.js';

/** Subset of the process context required by the shared parts. */
export interface SharedContext {
  settings: { platform: { url: string } };
  registry: Registry;
  logger: Logger;
  /** Current monotonic time in milliseconds. */
  clock(): number;
}

/** Shared parts, and the event loop to which they dispatch. */
export interface SharedParts {
  loop: { dispatch(event: CommonProcessEvent | ConfigStoreEvent): void };
  linkRegistry: LinkRegistry;
  traffic: LinkTraffic;
  configPoller: ConfigPoller;
  membership: PeriodicTask;
}

/** Definitions of the shared parts in a part table. */
export interface SharedPartTable<TParts> {
  linkRegistry: ComponentDefinition<TParts, LinkRegistry>;
  traffic: ComponentDefinition<TParts, LinkTraffic>;
  configPoller: ComponentDefinition<TParts, ConfigPoller>;
  membership: ComponentDefinition<TParts, PeriodicTask>;
}

function configPollerPart(ctx: SharedContext): ComponentDefinition<SharedParts, ConfigPoller> {
  const { settings, logger, clock } = ctx;
  const objects = createObjectClient({ url: settings.platform.url });
  return {
    create: (parts) =>
      createConfigPoller({
        store: createConfigStore({ objects }),
        logger,
        clock,
        dispatch: (event) => parts.loop.dispatch(event),
      }),
    close: (poller) => poller.close(),
  };
}

function membershipPart({
  settings,
  clock,
}: SharedContext): ComponentDefinition<SharedParts, PeriodicTask> {
  return {
    create: ({ loop }) =>
      startMembershipPolling({
        instances: createInstanceClient({ url: settings.platform.url }),
        onRouters: (routers) => loop.dispatch({ kind: 'routers-listed', nowMs: clock(), routers }),
      }),
    close: (polling) => polling.close(),
  };
}

/** Creates the definitions of the link, configuration and membership parts. Each part is created on first use. */
export function sharedPartTable(ctx: SharedContext): SharedPartTable<SharedParts> {
  const { registry, clock } = ctx;
  return {
    linkRegistry: {
      create: (parts) =>
        createLinkRegistry({
          registry,
          clock,
          dispatch: (event) => parts.loop.dispatch(event),
          traffic: () => parts.traffic,
        }),
    },
    traffic: { create: ({ linkRegistry }) => createLinkTraffic(registry, linkRegistry.links) },
    configPoller: configPollerPart(ctx),
    membership: membershipPart(ctx),
  };
}
