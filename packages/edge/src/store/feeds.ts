/** What the router follows in the platform's store: configuration, backend servers and the other routers. */
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
  decodeServer,
  StoreKind,
} from '@kingcupsill/prepared-platform';
import type { StoreObject } from '@kingcupsill/prepared-platform';
import type { Closable } from '../closable.js';
import type { PeerLinks } from '../peers/peer-links.js';
import type { EdgeSettings } from '../settings.js';
import type { EdgeContext, EdgeParts } from '../types.js';
import { createObjectFeed, FIRST_ANSWER_MS } from './object-feed.js';
import type { ObjectFeedOptions } from './object-feed.js';
import { readRouterAddress } from './router-registration.js';
import { createStoreContact } from './store-contact.js';

type FeedParts = Pick<EdgeParts, 'loop' | 'store' | 'metrics'>;
type Timing = Pick<ObjectFeedOptions, 'watchMs' | 'gatherMs'>;
type Handlers = Pick<ObjectFeedOptions, 'kind' | 'onListed' | 'onChanged'> & Timing;

/** A tenth of the time in which a change must be in force or a leaving server gets no new work. */
const URGENT_GATHER_MS = 250;
/** Routers come and go without a bound, and links notice by themselves. */
const ROUTERS_TIMING: Timing = { watchMs: 15_000, gatherMs: 1000 };

/** A connection that went silent shows within the time that the deployment leaves for that. */
function urgentTiming({ store }: EdgeSettings): Timing {
  return {
    watchMs: Math.max(FIRST_ANSWER_MS, store.noticeMs - FIRST_ANSWER_MS),
    gatherMs: URGENT_GATHER_MS,
  };
}

function configurationHandlers(ctx: EdgeContext, { loop }: FeedParts): Handlers {
  function configure(object: StoreObject): void {
    if (object.name !== CONFIGURATION_NAME) return;
    const decoded = decodeConfiguration(object.spec);
    if (decoded.ok) {
      loop.dispatch({ kind: 'configured', config: decoded.value, nowMs: ctx.clock() });
    } else {
      const { revision } = object;
      ctx.logger.warn('configuration-unreadable', { revision, message: decoded.message });
    }
  }

  return {
    kind: StoreKind.Configuration,
    ...urgentTiming(ctx.settings()),
    onListed: (objects) => objects.forEach(configure),
    onChanged({ object, removed }) {
      if (!removed) configure(object);
    },
  };
}

function serverHandlers(ctx: EdgeContext, { loop }: FeedParts): Handlers {
  function read(object: StoreObject) {
    const decoded = decodeServer(object.name, object.spec);
    if (decoded.ok) return decoded.value;
    const { name, revision } = object;
    ctx.logger.warn('server-unreadable', { server: name, revision, message: decoded.message });
    return undefined;
  }

  return {
    kind: StoreKind.Servers,
    ...urgentTiming(ctx.settings()),
    onListed(objects) {
      const entries = objects.flatMap((object) => read(object) ?? []);
      loop.dispatch({ kind: 'servers-listed', entries, nowMs: ctx.clock() });
    },
    onChanged({ object, removed }) {
      const entry = removed ? undefined : read(object);
      const nowMs = ctx.clock();
      if (entry !== undefined) loop.dispatch({ kind: 'server-changed', entry, nowMs });
      else loop.dispatch({ kind: 'server-removed', id: object.name, nowMs });
    },
  };
}

function routerHandlers(ctx: EdgeContext, { loop }: FeedParts, peers: PeerLinks): Handlers {
  const addresses = new Map<string, string>();

  function note(object: StoreObject): void {
    const router = readRouterAddress(object);
    if (router !== undefined) addresses.set(object.name, router.address);
  }

  function link(): void {
    const others = new Set(addresses.values());
    others.delete(ctx.settings().peers.address);
    peers.setAddresses(others);
    loop.dispatch({ kind: 'peers-counted', routerCount: others.size + 1, nowMs: ctx.clock() });
  }

  return {
    kind: StoreKind.Routers,
    ...ROUTERS_TIMING,
    onListed(objects) {
      addresses.clear();
      objects.forEach(note);
      link();
    },
    onChanged({ object, removed }) {
      if (removed) addresses.delete(object.name);
      else note(object);
      link();
    },
  };
}

/** Starts following. */
export function createFeeds(ctx: EdgeContext, parts: FeedParts, peers: PeerLinks): Closable {
  const contact = createStoreContact();
  const feeds = [
    configurationHandlers(ctx, parts),
    serverHandlers(ctx, parts),
    routerHandlers(ctx, parts, peers),
  ].map((handlers) =>
    createObjectFeed({
      ...handlers,
      client: parts.store,
      contact,
      logger: ctx.logger,
      random: ctx.random,
      onCalled: parts.metrics.storeCalled,
      onAnswered: () => parts.loop.dispatch({ kind: 'store-answered', nowMs: ctx.clock() }),
    }),
  );
  return {
    close() {
      feeds.forEach((feed) => feed.close());
      contact.close();
    },
  };
}
