/** Composition of the direct router's process. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  createDirectState,
  createReporter,
  describeState,
  directReducer,
} from '@kingcupsill/core/direct';
import type { DirectEffect, DirectEvent, DirectState } from '@kingcupsill/core/direct';
import { createHasher } from '@kingcupsill/core/hash';
import type { Hasher } from '@kingcupsill/core/hash';
import { createStoreClient } from '@kingcupsill/prepared-platform';
import { composeProcess, createLoop } from '@kingcupsill/runtime';
import type {
  ComponentDefinition,
  ComponentDefinitions,
  RunningProcess,
} from '@kingcupsill/runtime';
import { createAdminServer } from './admin/admin-server.js';
import { createCallerGate } from './callers/caller-gate.js';
import { createCallerServer } from './callers/caller-server.js';
import { createReadinessServer } from './callers/readiness-server.js';
import { createReceiver } from './callers/receive.js';
import { repeatEvery } from './closable.js';
import { createEffects } from './effects.js';
import { createExchanges } from './exchanges.js';
import { createLoopLag } from './loop-lag.js';
import { createEdgeMetrics } from './metrics.js';
import { createPeerLinks } from './peers/peer-links.js';
import { createServerConnections } from './relay/server-connections.js';
import { readZoneRegions, splitAddress } from './settings.js';
import { createFeeds } from './store/feeds.js';
import { registerRouter } from './store/router-registration.js';
import { createStoreTransport } from './store/send-call.js';
import type { EdgeContext, EdgeParts } from './types.js';

type EdgePart<K extends keyof EdgeParts> = ComponentDefinition<EdgeParts, EdgeParts[K]>;

/** Granularity of time-outs. */
const TICK_MS = 50;
/** Granularity of reports to peers: about the longest way between regions, which delays them anyway. */
const REPORT_TICK_MS = 20;
/** Reports that a router sends in a second, to all peers together: what it costs stays the same when the fleet grows. */
const REPORTS_PER_SECOND = 150;
/** After SIGTERM, new connections still come until the platform has missed two readiness checks, a second apart. */
const LISTEN_AFTER_TERM_MS = 3000;
/** Time kept from the grace period to end in order. */
const EXIT_MARGIN_MS = 400;
const DRAIN_POLL_MS = 50;
/** Time between lines that sum up what was done and what is believed. */
const SUMMARY_PERIOD_MS = 5000;
/** Heartbeats of silence after which the store may have dropped the entries of live servers. */
const LAPSE_HEARTBEATS = 2.5;
/** Time in which live servers renew lapsed entries after the store's return. */
const RENEW_MS = 2200;

/** Starts the router. Rejects when an address can't be listened on. */
export async function startEdge(ctx: EdgeContext): Promise<RunningProcess> {
  const { components: parts, close } = composeProcess<EdgeParts>(
    partTable(ctx, await createHasher()),
  );
  const { registration, ticking, summary } = parts;
  void [registration, ticking, summary];
  await Promise.all([parts.feeds, parts.callers, parts.readiness, parts.reporting, parts.admin]);
  ctx.logger.info('listening', { callers: ctx.settings().callers.address });
  return { drain: () => drain(ctx, parts), close };
}

/** Says not ready at once, listens on until new connections go elsewhere, then waits for the requests in hand. */
async function drain(ctx: EdgeContext, parts: EdgeParts): Promise<void> {
  const endMs = ctx.clock() + ctx.settings().shutdown.graceS * 1000 - EXIT_MARGIN_MS;
  parts.phase.draining = true;
  const callers = await parts.callers;
  callers.startDrain();
  const removed = parts.registration.remove();
  await delay(LISTEN_AFTER_TERM_MS);
  callers.stopListening();
  while (callers.openRequests() > 0 && ctx.clock() < endMs) await delay(DRAIN_POLL_MS);
  ctx.logger.info('drain-ended', { open: callers.openRequests() });
  await removed;
}

function partTable(ctx: EdgeContext, hasher: Hasher): ComponentDefinitions<EdgeParts> {
  return {
    state: { create: () => createState(ctx, hasher) },
    phase: { create: () => ({ draining: false }) },
    connections: {
      create: () => createServerConnections(ctx.clock),
      close: (connections) => connections.close(),
    },
    metrics: { create: ({ state }) => createEdgeMetrics(ctx.registry, state, ctx.droppedLines) },
    exchanges: exchangesPart(ctx),
    loop: loopPart(ctx),
    transport: transportPart(ctx),
    store: { create: ({ transport }) => createStoreClient(transport.send) },
    lag: { create: () => createLoopLag(ctx.clock), close: (lag) => lag.close() },
    gate: { create: ({ state }) => createCallerGate(state, ctx.random) },
    peers: peersPart(ctx),
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
    ticking: {
      create: ({ loop }) =>
        repeatEvery(TICK_MS, () => loop.dispatch({ kind: 'tick', nowMs: ctx.clock() })),
      close: (ticking) => ticking.close(),
    },
    reporting: reportingPart(ctx),
    summary: {
      create: (parts) => repeatEvery(SUMMARY_PERIOD_MS, () => logSummary(ctx, parts)),
      close: (summary) => summary.close(),
    },
  };
}

function logSummary(
  { logger, clock, droppedLines }: EdgeContext,
  { state, metrics }: Pick<EdgeParts, 'state' | 'metrics'>,
): void {
  const { totals, open, servers } = describeState(state, clock());
  const control = { ...metrics.control(), droppedLines: droppedLines() };
  logger.info('summary', { ...totals, open, ...control, servers });
}

function selfName(ctx: EdgeContext): string {
  return `${ctx.settings().process.id}/${ctx.incarnation}`;
}

function createState(ctx: EdgeContext, hasher: Hasher): DirectState {
  const settings = ctx.settings();
  return createDirectState({
    hasher,
    zone: settings.process.zone,
    regionByZone: readZoneRegions(settings.process.zoneRegions),
    registry: {
      outageThresholdMs: settings.store.heartbeatMs * LAPSE_HEARTBEATS,
      renewalGraceMs: RENEW_MS,
    },
    retryBudget: {
      ratio: settings.repeats.ratio,
      burst: settings.repeats.burst,
      windowMs: settings.repeats.windowS * 1000,
    },
    shareWindowMs: settings.shares.windowS * 1000,
  });
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
        handlers: createEffects(ctx, parts),
      }),
    close: (loop) => loop.close(),
  };
}

function transportPart(ctx: EdgeContext): EdgePart<'transport'> {
  return {
    create: () => createStoreTransport(() => splitAddress(ctx.settings().store.address)),
    close: (transport) => transport.close(),
  };
}

function peersPart(ctx: EdgeContext): EdgePart<'peers'> {
  const { clock, logger } = ctx;
  return {
    create: ({ loop }) =>
      createPeerLinks({
        ...splitAddress(ctx.settings().peers.address),
        clock,
        logger,
        onReport: (report) => loop.dispatch({ kind: 'peer-report', report, nowMs: clock() }),
        onGone: (router) => loop.dispatch({ kind: 'peer-gone', router, nowMs: clock() }),
      }),
    close: (peers) => peers.close(),
  };
}

function registrationPart(ctx: EdgeContext): EdgePart<'registration'> {
  const { process: own, peers } = ctx.settings();
  const address = { address: peers.address, incarnation: ctx.incarnation };
  return {
    create: ({ store }) => registerRouter(store, own.id, address, ctx.logger),
    close: (registration) => registration.close(),
  };
}

function callersPart(ctx: EdgeContext): EdgePart<'callers'> {
  return {
    create: (parts) =>
      createCallerServer({
        ...splitAddress(ctx.settings().callers.address),
        limits: () => parts.state.routeTable?.config.limits,
        onRequest: createReceiver(ctx, parts),
        clock: ctx.clock,
        logger: ctx.logger,
      }),
    close: (server) => server.close(),
  };
}

function readinessPart(ctx: EdgeContext): EdgePart<'readiness'> {
  return {
    create: ({ state, phase }) =>
      createReadinessServer({
        ...splitAddress(ctx.settings().callers.readinessAddress),
        ready: () => !phase.draining && state.routeTable !== undefined && state.hasServerList,
      }),
    close: (server) => server.close(),
  };
}

function reportingPart(ctx: EdgeContext): EdgePart<'reporting'> {
  const reporter = createReporter(selfName(ctx));
  return {
    async create(parts) {
      const peers = await parts.peers;
      let nextAtMs = 0;
      return repeatEvery(REPORT_TICK_MS, () => {
        const nowMs = ctx.clock();
        if (nowMs < nextAtMs) return;
        const report = reporter.compose(parts.state, nowMs);
        if (report === undefined) return;
        nextAtMs = nowMs + ((parts.state.routerCount - 1) * 1000) / REPORTS_PER_SECOND;
        parts.metrics.reported(peers.broadcast(report));
      });
    },
    close: (reporting) => reporting.close(),
  };
}
