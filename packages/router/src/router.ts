/** Composition root of the router process. */
import { setTimeout as delay } from 'node:timers/promises';

import type {
  Hasher,
  HelloMessage,
  RouterProcessEffect,
  RouterProcessEvent,
  RouterProcessState,
} from '@kingcupsill/core';
import {
  EMPTY_CONFIG,
  Role,
  createHasher,
  createRouterProcessReducer,
  createRouterProcessState,
  getConfigStatus,
} from '@kingcupsill/core';
import {
  baseHello,
  createDeferred,
  createProcessDescriptor,
  deriveAttemptToken,
  linkOptions,
  listenHttp,
  sharedPartTable,
  startPeriodicTask,
} from '@kingcupsill/fleet';
import type { LinkTls } from '@kingcupsill/link';
import { createLinkDialer, createLinkServer, readTlsFiles } from '@kingcupsill/link';
import type {
  ComponentDefinition,
  ComponentDefinitions,
  RunningProcess,
} from '@kingcupsill/runtime';
import { composeProcess, createAdminServer, createLoop } from '@kingcupsill/runtime';

import { createCallerApp } from './callers/caller-app.js';
import type { PendingRequest } from './callers/types.js';
import { createClaimEffectRunner } from './claims/claim-effect-runner.js';
import { createConfigIndex } from './config-index/config-index.js';
import { registerRouterMetrics } from './metrics.js';
import { createRelay } from './relay/relay.js';
import { createRouterEffects } from './router-effects.js';
import type { RouterContext, RouterParts } from './types.js';

const TICK_INTERVAL_MS = 50;

type RouterPart<K extends keyof RouterParts> = ComponentDefinition<RouterParts, RouterParts[K]>;

/** Starts the router. Resolves once it listens. */
export async function startRouter(ctx: RouterContext): Promise<RunningProcess> {
  const tls = await readTlsFiles(ctx.settings.link);
  const hasher = await createHasher();
  const { components: parts, close } = composeProcess<RouterParts>(
    createPartTable(ctx, hasher, tls),
  );
  const callerServer = await parts.callerServer;
  const linkServer = await parts.linkServer;
  const { traffic, metrics, dialer, membership, ticker } = parts;
  // Creates the parts on which no other part depends.
  void [traffic, metrics, dialer, membership, ticker];
  const admin = await parts.adminServer;
  ctx.logger.info('listening', {
    callersPort: callerServer.port,
    linkPort: linkServer.port,
    adminPort: admin.port,
  });
  return { drain: () => drain(ctx, parts), close };
}

/** Finishes open requests, or gives up at the drain deadline. */
async function drain(ctx: RouterContext, parts: RouterParts): Promise<void> {
  const { drainDeadlineMs } = ctx.settings.shutdown;
  const timer = new AbortController();
  const timeout = delay(drainDeadlineMs, true, { signal: timer.signal }).catch(() => false);
  const finished = finishRequests(ctx, parts).then(() => false);
  const hasTimedOut = await Promise.race([finished, timeout]);
  timer.abort();
  if (hasTimedOut)
    ctx.logger.warn('drain-deadline-passed', { requests: parts.pendingRequests.size });
}

async function finishRequests({ clock }: RouterContext, parts: RouterParts): Promise<void> {
  parts.loop.dispatch({ kind: 'stop', nowMs: clock() });
  await parts.stopped.promise;
  await (await parts.callerServer).waitForIdle();
}

function createPartTable(
  ctx: RouterContext,
  hasher: Hasher,
  tls: LinkTls | undefined,
): ComponentDefinitions<RouterParts> {
  const { registry, clock } = ctx;
  return {
    ...sharedPartTable(ctx),
    pendingRequests: { create: () => new Map() },
    configIndex: { create: () => ({ current: createConfigIndex(EMPTY_CONFIG) }) },
    stopped: { create: createDeferred },
    relay: createRelayPart(ctx),
    claimEffects: createClaimEffectsPart(ctx),
    loop: createLoopPart(ctx, hasher),
    metrics: {
      create: ({ loop }) => registerRouterMetrics(registry, () => loop.state().router),
    },
    linkServer: createLinkServerPart(ctx, tls),
    dialer: createDialerPart(ctx, tls),
    callerServer: createCallerServerPart(ctx),
    ticker: {
      create: ({ loop }) =>
        startPeriodicTask(
          async () => loop.dispatch({ kind: 'tick', nowMs: clock() }),
          TICK_INTERVAL_MS,
        ),
      close: (ticker) => ticker.close(),
    },
    adminServer: createAdminPart(ctx),
  };
}

function createRelayPart({ settings, incarnation, clock }: RouterContext): RouterPart<'relay'> {
  return {
    create: (parts) =>
      createRelay({
        token: deriveAttemptToken(settings.link.fleetKey),
        incarnation,
        clock,
        wallClock: Date.now,
        dispatch: (event) => parts.loop.dispatch(event),
        findRequest: (request) => parts.pendingRequests.get(request),
      }),
    close: (relay) => relay.close(),
  };
}

function createClaimEffectsPart({ settings, clock }: RouterContext): RouterPart<'claimEffects'> {
  return {
    create: (parts) =>
      createClaimEffectRunner({
        url: settings.platform.url,
        clock,
        wallClock: Date.now,
        dispatch: (event) => parts.loop.dispatch(event),
      }),
  };
}

function createLoopPart(ctx: RouterContext, hasher: Hasher): RouterPart<'loop'> {
  const { settings, incarnation, clock, logger } = ctx;
  const { policy, demandPeriodMs, exchangePeriodMs } = settings.fairness;
  return {
    create: (parts) =>
      createLoop<RouterProcessState, RouterProcessEvent, RouterProcessEffect>({
        initialState: createRouterProcessState(hasher, {
          self: createProcessDescriptor(settings.process, incarnation),
          router: { policy, demandPeriodMs },
          exchangePeriodMs,
          nowMs: clock(),
        }),
        reduce: createRouterProcessReducer(hasher),
        handlers: createRouterEffects({ parts, logger }),
      }),
    close: (loop) => loop.close(),
  };
}

function createHello({ loop }: RouterParts): HelloMessage {
  const { self, config } = loop.state();
  return baseHello(self, Role.Router, config.config.version);
}

function createLinkServerPart(
  ctx: RouterContext,
  tls: LinkTls | undefined,
): RouterPart<'linkServer'> {
  const { link } = ctx.settings;
  return {
    create: (parts) =>
      createLinkServer({
        ...linkOptions(link, tls, ctx),
        host: link.host,
        port: link.port,
        hello: () => createHello(parts),
        handlers: parts.linkRegistry.handlers,
      }),
    close: (server) => server.close(),
  };
}

function createDialerPart(ctx: RouterContext, tls: LinkTls | undefined): RouterPart<'dialer'> {
  return {
    create: (parts) =>
      createLinkDialer({
        ...linkOptions(ctx.settings.link, tls, ctx),
        random: Math.random,
        hello: () => createHello(parts),
        handlers: parts.linkRegistry.handlers,
      }),
    close: (dialer) => dialer.close(),
  };
}

function createCallerServerPart({ settings, clock }: RouterContext): RouterPart<'callerServer'> {
  const { host, port, maxBodyBytes } = settings.callers;
  return {
    create(parts) {
      const app = createCallerApp({
        configIndex: () => parts.configIndex.current,
        dispatch: parts.loop.dispatch,
        clock,
        wallClock: Date.now,
        random: Math.random,
        addRequest: (request) => addPendingRequest(parts, request),
        maxBodyBytes,
      });
      return listenHttp(app, host, port);
    },
    close: (server) => server.close(),
  };
}

/**
 * Registers a request until its caller's connection closes.
 * A request with an idempotency key stays registered until the reducer removes it, because it continues without its caller.
 */
function addPendingRequest(
  { pendingRequests, metrics }: RouterParts,
  pending: PendingRequest,
): void {
  pendingRequests.set(pending.request, pending);
  pending.res.once('close', () => {
    if (!pending.hasIdempotencyKey) pendingRequests.delete(pending.request);
    metrics.countResponse(pending.res.statusCode);
  });
}

function createAdminPart(ctx: RouterContext): RouterPart<'adminServer'> {
  const { settings, registry, logger, clock } = ctx;
  return {
    create: ({ loop, configIndex }) =>
      createAdminServer({
        ...settings.admin,
        registry,
        dump: () => ({ status: getConfigStatus(loop.state().config, clock()), ...loop.state() }),
        ready: () =>
          configIndex.current.version > 0
            ? { ok: true }
            : { ok: false, reason: 'no configuration yet' },
        logger,
      }),
    close: (server) => server.close(),
  };
}
