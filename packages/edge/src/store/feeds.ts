/** Feeds from the platform's store: configuration, backend servers and the other routers. */
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  decodeServer,
  StoreKind,
} from '@kingcupsill/prepared-platform';
import type { StoreObject } from '@kingcupsill/prepared-platform';
import type { BackendServerEntry, EvacuationEntry, FleetConfig } from '@kingcupsill/core/direct';
import type { Closable } from '../closable.js';
import type { PeerLinks } from '../peers/peer-links.js';
import { changeBoundMs } from '../settings.js';
import type { EdgeContext } from '../context.js';
import type { EdgeParts } from '../types.js';
import { MAX_RESPONSE_TIMEOUT_MS } from './call-results.js';
import { planChangeTiming } from './change-timing.js';
import { createKnownRouters } from './known-routers.js';
import { createObjectFeed } from './object-feed.js';
import type { FeedTiming, ObjectFeed, ObjectFeedOptions } from './object-feed.js';
import { ownRouterEntry, readRouterEntry } from './router-registration.js';
import type { RegisteredRouter } from './router-registration.js';
import { createStoreAvailability } from './store-availability.js';
import { createUnreadableObjects } from './unreadable-objects.js';
import type { UnreadableObjects } from './unreadable-objects.js';

type FeedParts = Pick<
  EdgeParts,
  'loop' | 'state' | 'store' | 'storeEra' | 'followedNews' | 'metrics' | 'registration'
>;
type FeedHandlers<TValue> = Pick<
  ObjectFeedOptions<TValue>,
  'kind' | 'timing' | 'allowsStale' | 'read' | 'onListed' | 'onChanged'
>;

/** No time limit applies to changes of the set of routers, and links detect lost routers on their own. */
const ROUTERS_TIMING: FeedTiming = {
  watchWaitMs: 15_000,
  confirmWaitMs: 15_000,
  responseTimeoutMs: MAX_RESPONSE_TIMEOUT_MS,
  retryDelayMs: 50,
  batchDelayMs: 1000,
  followingBatchDelayMs: 1000,
};

/** Timing of what must be in force in time, and be current. */
function urgent(ctx: EdgeContext): Pick<ObjectFeedOptions<unknown>, 'timing' | 'allowsStale'> {
  return { timing: planChangeTiming(changeBoundMs(ctx.settings())), allowsStale: false };
}

function configurationHandlers(
  ctx: EdgeContext,
  { loop, followedNews, metrics }: FeedParts,
): FeedHandlers<FleetConfig> {
  function readConfiguration({ name, revision, spec }: StoreObject): FleetConfig | undefined {
    if (name !== CONFIGURATION_NAME) return undefined;
    const decoded = decodeConfiguration(spec);
    const basis = followedNews.describe(StoreKind.Configuration);
    if (decoded.ok) {
      const { version } = decoded.value;
      ctx.logger.info('configuration-received', { version, revision, ...basis });
      return decoded.value;
    }
    metrics.countUnreadableConfiguration();
    const { message } = decoded;
    ctx.logger.warn('configuration-unreadable', { revision, message, ...basis });
    return undefined;
  }

  function applyConfiguration(config: FleetConfig): void {
    loop.dispatch({ kind: 'configured', config, nowMs: ctx.clock() });
  }

  return {
    kind: StoreKind.Configuration,
    ...urgent(ctx),
    read: readConfiguration,
    onListed: (configs) => configs.forEach(applyConfiguration),
    onChanged({ object, removed }) {
      const config = removed ? undefined : readConfiguration(object);
      if (config !== undefined) applyConfiguration(config);
    },
  };
}

function serverHandlers(
  ctx: EdgeContext,
  { loop }: FeedParts,
  unreadable: UnreadableObjects,
): FeedHandlers<BackendServerEntry> {
  function readEntry(object: StoreObject): BackendServerEntry | undefined {
    const decoded = decodeServer(object.name, object.spec);
    if (decoded.ok) return decoded.value;
    unreadable.report(StoreKind.Servers, object, decoded.message);
    return undefined;
  }

  return {
    kind: StoreKind.Servers,
    ...urgent(ctx),
    read: readEntry,
    onListed: (entries) => loop.dispatch({ kind: 'servers-listed', entries, nowMs: ctx.clock() }),
    onChanged({ object, removed }) {
      const entry = removed ? undefined : readEntry(object);
      const nowMs = ctx.clock();
      if (entry !== undefined) loop.dispatch({ kind: 'server-changed', entry, nowMs });
      else loop.dispatch({ kind: 'server-removed', id: object.name, nowMs });
    },
  };
}

function evacuationHandlers(ctx: EdgeContext, { loop }: FeedParts): FeedHandlers<EvacuationEntry> {
  // The entry's name is all that counts, so one with unreadable content holds as well.
  const toEntry = ({ name, revision }: StoreObject): EvacuationEntry => ({ zone: name, revision });
  return {
    kind: StoreKind.Evacuations,
    ...urgent(ctx),
    read: toEntry,
    onListed: (evacuations) =>
      loop.dispatch({ kind: 'evacuations-listed', evacuations, nowMs: ctx.clock() }),
    onChanged: ({ object, removed }) =>
      loop.dispatch(
        removed
          ? { kind: 'evacuation-withdrawn', zone: object.name, nowMs: ctx.clock() }
          : { kind: 'zone-evacuated', evacuation: toEntry(object), nowMs: ctx.clock() },
      ),
  };
}

function routerHandlers(
  ctx: EdgeContext,
  { loop, registration }: FeedParts,
  peers: PeerLinks,
  unreadable: UnreadableObjects,
): FeedHandlers<RegisteredRouter> {
  const { id } = ctx.settings().process;
  const routers = createKnownRouters(() => ({ name: id, ...ownRouterEntry(ctx) }));

  function readRegistration(object: StoreObject): RegisteredRouter | undefined {
    const entry = readRouterEntry(object);
    const { name, revision } = object;
    if (entry !== undefined) return { name, revision, entry };
    unreadable.report(StoreKind.Routers, object, 'no address or incarnation');
    return undefined;
  }

  function updateLinks(): void {
    const known = routers.list();
    peers.setRouters(known);
    loop.dispatch({
      kind: 'peers-listed',
      routers: known.map(({ name }) => name),
      nowMs: ctx.clock(),
    });
  }

  return {
    kind: StoreKind.Routers,
    timing: ROUTERS_TIMING,
    allowsStale: true,
    read: readRegistration,
    onListed(registrations) {
      routers.clear();
      registrations.forEach(routers.add);
      updateLinks();
      registration.verify(registrations.find(({ name }) => name === id));
    },
    onChanged({ object, removed }) {
      const changed = removed ? undefined : readRegistration(object);
      if (object.name === id) registration.verify(changed);
      if (removed) routers.remove(object.name);
      else if (changed !== undefined) routers.add(changed);
      updateLinks();
    },
  };
}

/** Starts the feeds. */
export function createFeeds(ctx: EdgeContext, parts: FeedParts, peers: PeerLinks): Closable {
  const availability = createStoreAvailability();
  const start = <TValue>(handlers: FeedHandlers<TValue>): ObjectFeed =>
    createObjectFeed({
      ...handlers,
      client: parts.store,
      clock: ctx.clock,
      availability,
      era: parts.storeEra,
      news: handlers.allowsStale ? undefined : parts.followedNews,
      logger: ctx.logger,
      random: ctx.random,
      onCallEnded: parts.metrics.countStoreCall,
      onResponse: () => parts.loop.dispatch({ kind: 'store-answered', nowMs: ctx.clock() }),
    });
  const unreadable = createUnreadableObjects({
    logger: ctx.logger,
    onRead: parts.metrics.countUnreadableObject,
  });
  const feeds = [
    start(configurationHandlers(ctx, parts)),
    start(serverHandlers(ctx, parts, unreadable)),
    ...(parts.state.options.followsEvacuations ? [start(evacuationHandlers(ctx, parts))] : []),
    start(routerHandlers(ctx, parts, peers, unreadable)),
  ];
  return {
    close() {
      feeds.forEach((feed) => feed.close());
      parts.followedNews.wake(Object.values(StoreKind));
      availability.close();
    },
  };
}
