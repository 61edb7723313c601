/** Composition of the direct router's process. */
import {
  areVersionsAttempted,
  createDirectState,
  createStoreNews,
  describeState,
  directReducer,
  isReadyToRoute,
} from '@kingcupsill/core/direct';
import type { DirectEffect, DirectEvent, DirectState } from '@kingcupsill/core/direct';
import { createHasher } from '@kingcupsill/core/hash';
import type { Hasher } from '@kingcupsill/core/hash';
import { createStoreClient, StoreKind } from '@kingcupsill/prepared-platform';
import { afterNextPoll, composeProcess, createLoop, repeatEvery } from '@kingcupsill/runtime';
import type {
  ComponentDefinition,
  ComponentDefinitions,
  RunningProcess,
} from '@kingcupsill/runtime';
import { createAdminServer } from './admin/admin-server.js';
import { ACCEPT_QUEUE_CAPACITY, createAcceptQueue } from './callers/accept-queue.js';
import { createBodyBudget } from './callers/body-budget.js';
import { createCallerServer } from './callers/caller-server.js';
import { createReadinessServer } from './callers/readiness-server.js';
import { createRequestHandlers } from './callers/request-handler.js';
import { createRequestValidator } from './callers/request-validator.js';
import { createConnectionLimits } from './descriptors.js';
import { drain } from './drain.js';
import { createEffectHandlers } from './effect-handlers.js';
import { createExchanges } from './exchanges.js';
import { createLoopLag } from './loop-lag.js';
import { divideMemory } from './memory-division.js';
import type { MemoryDivision } from './memory-division.js';
import { readMemoryUse } from './memory-use.js';
import { createEdgeMetrics, registerMemoryGauges } from './metrics.js';
import { createPeerLinks } from './peers/peer-links.js';
import type { PeerLinks } from './peers/peer-links.js';
import { createReporting } from './peers/reporting.js';
import { createRequestErrors } from './request-errors.js';
import { createServerConnections } from './relay/server-connections.js';
import { changeBoundMs, parseAddress, parseZoneRegions } from './settings.js';
import { createAnswerReading } from './store/answer-reading.js';
import { planChangeTiming } from './store/change-timing.js';
import { createFeeds } from './store/feeds.js';
import { createFollowedNews } from './store/followed-news.js';
import { ownRouterEntry, registerRouter } from './store/router-registration.js';
import { createStoreEra } from './store/store-era.js';
import { createStoreTransport } from './store/store-transport.js';
import { createStreamStore } from './store/stream-store.js';
import type { EdgeContext } from './context.js';
import type { EdgeParts } from './types.js';

type EdgePart<K extends keyof EdgeParts> = ComponentDefinition<EdgeParts, EdgeParts[K]>;

/** Granularity of timeouts. */
const TICK_MS = 50;
/** Period of summary log lines with the totals and the estimated state of the servers. */
const SUMMARY_PERIOD_MS = 5000;
/** Outage of the store, in heartbeats, after which it may have dropped the entries of live servers. */
const LAPSE_AFTER_HEARTBEATS = 2.5;
/** Time within which live servers renew lapsed entries after the store has recovered. */
const ENTRY_RENEWAL_MS = 2200;

/** Starts the router. Waits until its addresses are free; rejects if it can't listen on them for another reason. */
export async function startEdge(ctx: EdgeContext): Promise<RunningProcess> {
  const { components: parts, close } = composeProcess<EdgeParts>(
    partTable(ctx, await createHasher()),
  );
  const { registration, tickTimer, summaryTimer, bodyBudget, connections } = parts;
  void [registration, tickTimer, summaryTimer];
  registerMemoryGauges(ctx.registry, () => readMemoryUse(bodyBudget, connections));
  await Promise.all([parts.feeds, parts.callers, parts.readiness, parts.peers, parts.admin]);
  ctx.logger.info('listening', { callers: ctx.settings().callers.address });
  return { drain: () => drain(ctx, parts), close };
}

function partTable(ctx: EdgeContext, hasher: Hasher): ComponentDefinitions<EdgeParts> {
  return {
    state: { create: () => createState(ctx, hasher) },
    phase: { create: () => ({ accepting: false, draining: false }) },
    connectionLimits: { create: () => createConnectionLimits(ctx) },
    memoryDivision: { create: () => createMemoryDivision(ctx) },
    connections: connectionsPart(ctx),
    metrics: {
      create: ({ state, acceptQueue }) =>
        createEdgeMetrics(ctx.registry, state, ctx.droppedLines, acceptQueue.waitMs),
    },
    exchanges: exchangesPart(ctx),
    requestErrors: { create: (parts) => createRequestErrors(ctx, parts) },
    loop: loopPart(ctx),
    transport: transportPart(ctx),
    store: {
      create: ({ transport, state }) =>
        createStoreClient(
          transport.send,
          createAnswerReading(ctx.clock, () => isReadyToRoute(state)),
        ),
    },
    storeEra: {
      create: ({ loop }) =>
        createStoreEra((era) => {
          ctx.logger.warn('store-restored', { era });
          loop.dispatch({ kind: 'store-restored', nowMs: ctx.clock() });
        }),
    },
    streamStore: {
      create: ({ store, storeEra, metrics }) =>
        createStreamStore({
          client: store,
          era: storeEra,
          router: ctx.settings().process.id,
          incarnation: ctx.incarnation,
          logger: ctx.logger,
          onCallEnded: (outcome) => metrics.countStoreCall(StoreKind.Streams, outcome),
        }),
      close: (streamStore) => streamStore.close(),
    },
    storeNews: { create: createStoreNews },
    followedNews: followedNewsPart(ctx),
    acceptQueue: {
      create: () => createAcceptQueue(ACCEPT_QUEUE_CAPACITY, ctx.clock, afterNextPoll),
    },
    loopLag: {
      create: ({ acceptQueue }) => createLoopLag(ctx.clock, acceptQueue.waitMs),
      close: (lag) => lag.close(),
    },
    bodyBudget: { create: () => createBodyBudget(ctx.settings().process.memoryMb) },
    validator: { create: ({ state }) => createRequestValidator(state, ctx.random) },
    requestHandlers: { create: (parts) => createRequestHandlers(ctx, parts) },
    peers: peersPart(ctx, hasher),
    feeds: {
      create: async (parts) => createFeeds(ctx, parts, await parts.peers),
      close: (feeds) => feeds.close(),
    },
    registration: registrationPart(ctx),
    callers: callersPart(ctx),
    readiness: readinessPart(ctx),
    admin: {
      create: (parts) => createAdminServer(ctx, parts),
      close: (server) => server.close(),
    },
    tickTimer: {
      create: ({ loop, reporting }) =>
        repeatEvery(TICK_MS, () => {
          loop.dispatch({ kind: 'tick', nowMs: ctx.clock() });
          reporting.schedule();
        }),
      close: (tickTimer) => tickTimer.close(),
    },
    reporting: { create: (parts) => createReporting(ctx, parts, routerName(ctx)) },
    summaryTimer: {
      create: (parts) => repeatEvery(SUMMARY_PERIOD_MS, () => logSummary(ctx, parts)),
      close: (summaryTimer) => summaryTimer.close(),
    },
  };
}

async function logSummary(
  { logger, clock, droppedLines }: EdgeContext,
  {
    state,
    metrics,
    callers,
    acceptQueue,
    loopLag,
    bodyBudget,
    followedNews,
    connections: serverConnections,
  }: EdgeParts,
): Promise<void> {
  const { connectionTotals } = await callers;
  const { totals, open, servers } = describeState(state, clock());
  const control = { ...metrics.controlTotals(), droppedLines: droppedLines() };
  const lateness = {
    lagMs: Math.round(loopLag.lagMs()),
    acceptWaitMs: Math.round(acceptQueue.waitMs()),
  };
  const connections = connectionTotals();
  const bodyBytes = bodyBudget.heldBytes();
  const fields = { ...totals, open, connections, bodyBytes, ...lateness, ...control, servers };
  logger.info('summary', fields);
  logger.info('configuration', {
    version: state.routeTable?.config.version,
    ...followedNews.describe(StoreKind.Configuration),
  });
  logger.info('memory', { ...readMemoryUse(bodyBudget, serverConnections) });
}

function createMemoryDivision({ settings, logger }: EdgeContext): MemoryDivision {
  const { memoryMb } = settings().process;
  const division = divideMemory(memoryMb);
  logger.info('memory-limits', { ...division, memoryMb });
  return division;
}

function routerName(ctx: EdgeContext): string {
  return `${ctx.settings().process.id}/${ctx.incarnation}`;
}

function createState(ctx: EdgeContext, hasher: Hasher): DirectState {
  const settings = ctx.settings();
  return createDirectState({
    instance: settings.process.id,
    router: routerName(ctx),
    hasher,
    zone: settings.process.zone,
    regionByZone: parseZoneRegions(settings.process.zoneRegions),
    registry: {
      outageThresholdMs: settings.store.heartbeatMs * LAPSE_AFTER_HEARTBEATS,
      renewalGraceMs: ENTRY_RENEWAL_MS,
    },
    followsEvacuations: settings.store.evacuationMs !== undefined,
    retryBudget: {
      ratio: settings.repeats.ratio,
      burst: settings.repeats.burst,
      windowMs: settings.repeats.windowS * 1000,
    },
    store: {
      writesPerSecond: settings.store.writesPerS,
      readsPerSecond: settings.store.readsPerS,
    },
    shareWindowMs: settings.shares.windowS * 1000,
  });
}

function connectionsPart({ clock }: EdgeContext): EdgePart<'connections'> {
  return {
    create: ({ connectionLimits, memoryDivision }) =>
      createServerConnections({
        nowMs: clock,
        maxConnections: connectionLimits.servers,
        responseBytes: memoryDivision.responses,
      }),
    close: (connections) => connections.close(),
  };
}

function exchangesPart({ clock }: EdgeContext): EdgePart<'exchanges'> {
  return {
    create: (parts) =>
      createExchanges((request) =>
        parts.loop.dispatch({ kind: 'caller-left', request, nowMs: clock() }),
      ),
  };
}

function loopPart(ctx: EdgeContext): EdgePart<'loop'> {
  return {
    create: (parts) =>
      createLoop<DirectState, DirectEvent, DirectEffect>({
        initialState: parts.state,
        reduce: directReducer,
        handlers: createEffectHandlers(ctx, parts),
        onEffectError: parts.requestErrors.handleEffect,
      }),
    close: (loop) => loop.close(),
  };
}

function transportPart(ctx: EdgeContext): EdgePart<'transport'> {
  return {
    create: () => createStoreTransport(() => parseAddress(ctx.settings().store.address)),
    close: (transport) => transport.close(),
  };
}

function peersPart(ctx: EdgeContext, hasher: Hasher): EdgePart<'peers'> {
  const { clock, logger } = ctx;
  return {
    create: (parts) =>
      createPeerLinks({
        ...parseAddress(ctx.settings().peers.address),
        self: ctx.settings().process.id,
        router: routerName(ctx),
        hasher,
        clock,
        logger,
        stopping: ctx.stopping,
        maxLinks: parts.connectionLimits.links,
        maxConnections: parts.connectionLimits.side,
        storeNews: parts.storeNews,
        blocks: parts.state.crashEvidence.blocks,
        serverLimits: parts.state.serverLimits,
        onReport(report) {
          parts.loop.dispatch({ kind: 'peer-report', report, nowMs: clock() });
          parts.followedNews.wake(report.storeNews.map(({ kind }) => kind));
        },
        onPeerLost: (router) => parts.loop.dispatch({ kind: 'peer-gone', router, nowMs: clock() }),
        onSent: parts.metrics.countReport,
      }),
    close: (peers) => peers.close(),
  };
}

function followedNewsPart({ clock, logger, settings }: EdgeContext): EdgePart<'followedNews'> {
  return {
    create({ storeNews, peers }) {
      let links: PeerLinks | undefined;
      void peers.then((created) => {
        links = created;
      });
      return createFollowedNews({
        news: storeNews,
        clock,
        logger,
        maxNewsAgeMs: planChangeTiming(changeBoundMs(settings())).maxNewsAgeMs,
        isWatching: () => links?.watchesStore() ?? false,
        announce: (kind) => links?.announceStoreNews(kind),
      });
    },
  };
}

function registrationPart(ctx: EdgeContext): EdgePart<'registration'> {
  const { id } = ctx.settings().process;
  return {
    create: ({ store, storeEra }) =>
      registerRouter(store, id, ownRouterEntry(ctx), storeEra, ctx.logger),
    close: (registration) => registration.close(),
  };
}

function callersPart(ctx: EdgeContext): EdgePart<'callers'> {
  return {
    create: async (parts) => {
      const server = await createCallerServer({
        ...parseAddress(ctx.settings().callers.address),
        limits: () => parts.state.routeTable?.config.limits,
        ...parts.requestHandlers,
        maxConnections: parts.connectionLimits.callers,
        acceptQueue: parts.acceptQueue,
        maxRefusedConnections: parts.connectionLimits.refusedCallers,
        maxWaitingBytes: parts.memoryDivision.waitingInput,
        clock: ctx.clock,
        logger: ctx.logger,
        stopping: ctx.stopping,
      });
      parts.phase.accepting = true;
      return server;
    },
    close: (server) => server.close(),
  };
}

function readinessPart(ctx: EdgeContext): EdgePart<'readiness'> {
  return {
    create({ state, phase, acceptQueue, loopLag, connectionLimits }) {
      let wasOverloaded = false;
      /** An overloaded router leaves new connections to the others of its zone. */
      function checkOverload(): boolean {
        const isOverloaded = loopLag.isOverloaded();
        if (isOverloaded !== wasOverloaded) {
          const lateness = { lagMs: loopLag.lagMs(), acceptWaitMs: acceptQueue.waitMs() };
          ctx.logger.warn('overload-changed', { overloaded: isOverloaded, ...lateness });
        }
        wasOverloaded = isOverloaded;
        return isOverloaded;
      }
      return createReadinessServer({
        ...parseAddress(ctx.settings().callers.readinessAddress),
        logger: ctx.logger,
        stopping: ctx.stopping,
        maxConnections: connectionLimits.side,
        isReady: () =>
          phase.accepting &&
          !phase.draining &&
          isReadyToRoute(state) &&
          areVersionsAttempted(state) &&
          !checkOverload(),
      });
    },
    close: (server) => server.close(),
  };
}
