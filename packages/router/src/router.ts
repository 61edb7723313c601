/** Composition of the router process. */
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
  getConfigStatus,
  createHasher,
  createRouterProcessReducer,
  createRouterProcessState,
} from '@kingcupsill/core';
import {
  attemptToken,
  baseHello,
  createSignal,
  linkOptions,
  listenHttp,
  processSelf,
  repeatTask,
  sharedPartTable,
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
import type { HeldRequest } from './callers/types.js';
import { createClaims } from './claims/claims.js';
import { createDirectory } from './directory/directory.js';
import { registerRouterMetrics } from './metrics.js';
import { createRelay } from './relay/relay.js';
import { createRouterEffects } from './router-effects.js';
import type { RouterContext, RouterParts } from './types.js';

const TICK_MS = 50;

type RouterPart<K extends keyof RouterParts> = ComponentDefinition<RouterParts, RouterParts[K]>;

/** Starts the router. */
export async function startRouter(ctx: RouterContext): Promise<RunningProcess> {
  const tls = await readTlsFiles(ctx.settings.link);
  const hasher = await createHasher();
  const { components: parts, close } = composeProcess<RouterParts>(partTable(ctx, hasher, tls));
  const callers = await parts.callerServer;
  const links = await parts.linkServer;
  const { traffic, metrics, dialer, membership, ticking } = parts;
  void [traffic, metrics, dialer, membership, ticking];
  const admin = await parts.adminServer;
  ctx.logger.info('listening', {
    callersPort: callers.port,
    linkPort: links.port,
    adminPort: admin.port,
  });
  return { drain: () => drain(ctx, parts), close };
}

/** Finishes the requests in hand, for no longer than the drain deadline. */
async function drain(ctx: RouterContext, parts: RouterParts): Promise<void> {
  const { drainDeadlineMs } = ctx.settings.shutdown;
  const deadline = new AbortController();
  const expired = delay(drainDeadlineMs, true, { signal: deadline.signal }).catch(() => false);
  const finished = finishRequests(ctx, parts).then(() => false);
  const isLate = await Promise.race([finished, expired]);
  deadline.abort();
  if (isLate) ctx.logger.warn('drain-deadline-passed', { requests: parts.heldRequests.size });
}

async function finishRequests({ clock }: RouterContext, parts: RouterParts): Promise<void> {
  parts.loop.dispatch({ kind: 'stop', nowMs: clock() });
  await parts.stopped.happened;
  await (await parts.callerServer).idle();
}

function partTable(
  ctx: RouterContext,
  hasher: Hasher,
  tls: LinkTls | undefined,
): ComponentDefinitions<RouterParts> {
  const { registry, clock } = ctx;
  return {
    ...sharedPartTable(ctx),
    heldRequests: { create: () => new Map() },
    directory: { create: () => ({ now: createDirectory(EMPTY_CONFIG) }) },
    stopped: { create: createSignal },
    relay: relayPart(ctx),
    claims: claimsPart(ctx),
    loop: loopPart(ctx, hasher),
    metrics: {
      create: ({ loop }) => registerRouterMetrics(registry, () => loop.state().router),
    },
    linkServer: linkServerPart(ctx, tls),
    dialer: dialerPart(ctx, tls),
    callerServer: callerServerPart(ctx),
    ticking: {
      create: ({ loop }) =>
        repeatTask(async () => loop.dispatch({ kind: 'tick', nowMs: clock() }), TICK_MS),
      close: (ticking) => ticking.close(),
    },
    adminServer: adminPart(ctx),
  };
}

function relayPart({ settings, incarnation, clock }: RouterContext): RouterPart<'relay'> {
  return {
    create: (parts) =>
      createRelay({
        token: attemptToken(settings.link.fleetKey),
        incarnation,
        clock,
        wallClock: Date.now,
        dispatch: (event) => parts.loop.dispatch(event),
        held: (request) => parts.heldRequests.get(request),
      }),
    close: (relay) => relay.close(),
  };
}

function claimsPart({ settings, clock }: RouterContext): RouterPart<'claims'> {
  return {
    create: (parts) =>
      createClaims({
        url: settings.platform.url,
        clock,
        wallClock: Date.now,
        dispatch: (event) => parts.loop.dispatch(event),
      }),
  };
}

function loopPart(ctx: RouterContext, hasher: Hasher): RouterPart<'loop'> {
  const { settings, incarnation, clock, logger } = ctx;
  const { policy, demandPeriodMs, exchangePeriodMs } = settings.fairness;
  return {
    create: (parts) =>
      createLoop<RouterProcessState, RouterProcessEvent, RouterProcessEffect>({
        initialState: createRouterProcessState(hasher, {
          self: processSelf(settings.process, incarnation),
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

function helloOf({ loop }: RouterParts): HelloMessage {
  const { self, config } = loop.state();
  return baseHello(self, Role.Router, config.config.version);
}

function linkServerPart(ctx: RouterContext, tls: LinkTls | undefined): RouterPart<'linkServer'> {
  const { link } = ctx.settings;
  return {
    create: (parts) =>
      createLinkServer({
        ...linkOptions(link, tls, ctx),
        host: link.host,
        port: link.port,
        hello: () => helloOf(parts),
        handlers: parts.linkFeed.handlers,
      }),
    close: (server) => server.close(),
  };
}

function dialerPart(ctx: RouterContext, tls: LinkTls | undefined): RouterPart<'dialer'> {
  return {
    create: (parts) =>
      createLinkDialer({
        ...linkOptions(ctx.settings.link, tls, ctx),
        random: Math.random,
        hello: () => helloOf(parts),
        handlers: parts.linkFeed.handlers,
      }),
    close: (dialer) => dialer.close(),
  };
}

function callerServerPart({ settings, clock }: RouterContext): RouterPart<'callerServer'> {
  const { host, port, maxBodyBytes } = settings.callers;
  return {
    create(parts) {
      const app = createCallerApp({
        directory: () => parts.directory.now,
        dispatch: parts.loop.dispatch,
        clock,
        wallClock: Date.now,
        random: Math.random,
        hold: (request) => holdRequest(parts, request),
        maxBodyBytes,
      });
      return listenHttp(app, host, port);
    },
    close: (server) => server.close(),
  };
}

/** Keeps the request until its connection to the caller has ended; one with an idempotency key, until the reducer is done with it. */
function holdRequest({ heldRequests, metrics }: RouterParts, held: HeldRequest): void {
  heldRequests.set(held.request, held);
  held.res.once('close', () => {
    if (!held.keyed) heldRequests.delete(held.request);
    metrics.answered(held.res.statusCode);
  });
}

function adminPart(ctx: RouterContext): RouterPart<'adminServer'> {
  const { settings, registry, logger, clock } = ctx;
  return {
    create: ({ loop, directory }) =>
      createAdminServer({
        ...settings.admin,
        registry,
        dump: () => ({ status: getConfigStatus(loop.state().config, clock()), ...loop.state() }),
        ready: () =>
          directory.now.version > 0 ? { ok: true } : { ok: false, reason: 'no configuration yet' },
        logger,
      }),
    close: (server) => server.close(),
  };
}
