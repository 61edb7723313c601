/** The direct router as a process. */
import { randomBytes } from 'node:crypto';
import { createDirectState, createReporter } from '@kingcupsill/core/direct';
import type { DirectState } from '@kingcupsill/core/direct';
import { createHasher } from '@kingcupsill/core/hash';
import {
  CONFIGURATION_NAME,
  createStoreClient,
  decodeConfiguration,
  decodeServer,
  StoreKind,
} from '@kingcupsill/prepared-platform';
import type { StoreObject } from '@kingcupsill/prepared-platform';
import type { Logger, RunningProcess } from '@kingcupsill/runtime';
import type { Registry } from 'prom-client';
import { createCallerServer } from './callers/caller-server.js';
import { createReadinessServer } from './callers/readiness-server.js';
import { createEdgeMetrics } from './metrics.js';
import { createPeerLinks } from './peers/peer-links.js';
import { createServerConnections } from './relay/server-connections.js';
import { createRequests } from './requests.js';
import { readZoneRegions, splitAddress } from './settings.js';
import type { EdgeSettings } from './settings.js';
import { createObjectFeed } from './store/object-feed.js';
import { readRouterAddress, registerRouter } from './store/router-registration.js';
import { createStoreTransport } from './store/send-call.js';

/** Granularity of time-outs. */
const TICK_MS = 50;
/** Time between reports to peers: short against the time that prompts wait at engines. */
const REPORT_PERIOD_MS = 100;
/** After SIGTERM, new connections still come until the platform has missed two readiness checks, a second apart. */
const LISTEN_AFTER_TERM_MS = 3000;
/** Time kept from the grace period to end in order. */
const EXIT_MARGIN_MS = 400;
const DRAIN_POLL_MS = 50;
/** Heartbeats of silence after which the store drops a server's entry. */
const LAPSE_HEARTBEATS = 2.5;
/** Time in which live servers renew lapsed entries after the store's return. */
const RENEW_MS = 2200;

/** What a process needs to start. */
export interface EdgeContext {
  settings: EdgeSettings;
  logger: Logger;
  registry: Registry;
  nowMs: () => number;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function createState(settings: EdgeSettings): Promise<DirectState> {
  return createDirectState({
    hasher: await createHasher(),
    zone: settings.process.zone,
    regions: readZoneRegions(settings.process.zoneRegions),
    registry: { lapseAfterMs: settings.store.heartbeatMs * LAPSE_HEARTBEATS, renewMs: RENEW_MS },
    repeats: {
      ratio: settings.repeats.ratio,
      burst: settings.repeats.burst,
      windowMs: settings.repeats.windowS * 1000,
    },
    shareWindowMs: settings.shares.windowS * 1000,
  });
}

/** Starts the router. Rejects when an address can't be listened on. */
export async function startEdge(ctx: EdgeContext): Promise<RunningProcess> {
  const { settings, logger, nowMs } = ctx;
  const random = Math.random;
  const incarnation = randomBytes(4).toString('hex');
  const self = `${settings.process.id}/${incarnation}`;
  const state = await createState(settings);
  const connections = createServerConnections(nowMs);
  const metrics = createEdgeMetrics(ctx.registry, state);
  const requests = createRequests({ state, connections, logger, metrics, nowMs, random });
  const { loop } = requests;
  const storeAddress = splitAddress(settings.store.address);
  const transport = createStoreTransport(storeAddress.host, storeAddress.port);
  const store = createStoreClient(transport.send);
  let draining = false;

  const peers = await createPeerLinks({
    ...splitAddress(settings.peers.address),
    self,
    nowMs,
    logger,
    onReport: (report) => loop.dispatch({ kind: 'peer-report', report, nowMs: nowMs() }),
    onGone: (router) => loop.dispatch({ kind: 'peer-gone', router, nowMs: nowMs() }),
  });

  function configure(object: StoreObject): void {
    if (object.name !== CONFIGURATION_NAME) return;
    const decoded = decodeConfiguration(object.spec);
    if (decoded.ok) loop.dispatch({ kind: 'configured', config: decoded.value, nowMs: nowMs() });
    else logger.warn('configuration-unreadable', { revision: object.revision, ...decoded });
  }

  function readServer(object: StoreObject) {
    const decoded = decodeServer(object.name, object.spec);
    if (decoded.ok) return decoded.value;
    logger.warn('server-entry-unreadable', { server: object.name, message: decoded.message });
    return undefined;
  }

  const routers = new Map<string, string>();
  function linkRouters(): void {
    const others = new Set(routers.values());
    others.delete(settings.peers.address);
    peers.setAddresses(others);
    loop.dispatch({ kind: 'peers-counted', routers: others.size + 1, nowMs: nowMs() });
  }
  function noteRouter(object: StoreObject): void {
    const router = readRouterAddress(object);
    if (router !== undefined) routers.set(object.name, router.address);
  }

  const common = {
    client: store,
    logger,
    random,
    onAnswered: () => loop.dispatch({ kind: 'store-answered', nowMs: nowMs() }),
  };
  const feeds = [
    createObjectFeed({
      ...common,
      kind: StoreKind.Configuration,
      onListed: (objects) => objects.forEach(configure),
      onChanged: ({ object, removed }) => {
        if (!removed) configure(object);
      },
    }),
    createObjectFeed({
      ...common,
      kind: StoreKind.Servers,
      onListed(objects) {
        const entries = objects.flatMap((object) => readServer(object) ?? []);
        loop.dispatch({ kind: 'servers-listed', entries, nowMs: nowMs() });
      },
      onChanged({ object, removed }) {
        const entry = removed ? undefined : readServer(object);
        if (entry !== undefined) {
          loop.dispatch({ kind: 'server-changed', entry, nowMs: nowMs() });
        } else {
          loop.dispatch({ kind: 'server-removed', id: object.name, nowMs: nowMs() });
        }
      },
    }),
    createObjectFeed({
      ...common,
      kind: StoreKind.Routers,
      onListed(objects) {
        routers.clear();
        objects.forEach(noteRouter);
        linkRouters();
      },
      onChanged({ object, removed }) {
        if (removed) routers.delete(object.name);
        else noteRouter(object);
        linkRouters();
      },
    }),
  ];
  const registration = registerRouter(
    store,
    settings.process.id,
    { address: settings.peers.address, incarnation },
    logger,
  );

  const callers = await createCallerServer({
    ...splitAddress(settings.callers.address),
    limits: () => state.table?.config.limits,
    onRequest: requests.onRequest,
    nowMs,
    logger,
  });
  const readiness = await createReadinessServer({
    ...splitAddress(settings.callers.readinessAddress),
    ready: () => !draining && state.table !== undefined && state.listed,
  });
  const reporter = createReporter(self);
  const timers = [
    setInterval(() => loop.dispatch({ kind: 'tick', nowMs: nowMs() }), TICK_MS),
    setInterval(() => {
      const report = reporter.compose(state);
      if (report !== undefined) peers.broadcast(report);
    }, REPORT_PERIOD_MS),
  ];
  logger.info('started', { incarnation });

  return {
    async drain() {
      const endMs = nowMs() + settings.shutdown.graceS * 1000 - EXIT_MARGIN_MS;
      draining = true;
      callers.startDrain();
      const removal = registration.remove();
      await sleep(LISTEN_AFTER_TERM_MS);
      callers.stopListening();
      while (callers.openRequests() > 0 && nowMs() < endMs) await sleep(DRAIN_POLL_MS);
      logger.info('drain-ended', { open: callers.openRequests() });
      await removal;
    },
    async close() {
      timers.forEach(clearInterval);
      feeds.forEach((feed) => feed.close());
      registration.close();
      readiness.close();
      peers.close();
      await callers.close();
      transport.close();
      connections.close();
      loop.close();
    },
  };
}
