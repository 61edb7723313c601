/** Composition of the router process. */
import type { RouterEffect, RouterEvent, RouterState } from '@kingcupsill/core';
import { EMPTY_CONFIG, createRouterState, routerReducer } from '@kingcupsill/core';
import {
  attemptToken,
  createConfigFollower,
  createLinkTraffic,
  createSignal,
  listenHttp,
  repeatTask,
} from '@kingcupsill/fleet';
import type { LinkTls } from '@kingcupsill/link';
import { readTlsFiles } from '@kingcupsill/link';
import { createConfigStore, createObjectClient } from '@kingcupsill/platform';
import type { Part, PartTable, RunningProcess } from '@kingcupsill/runtime';
import { composeProcess, createAdminServer, createLoop } from '@kingcupsill/runtime';

import { createCallerApp } from './callers/caller-app.js';
import type { HeldRequest } from './callers/types.js';
import { createDirectory } from './directory/directory.js';
import { registerRouterMetrics } from './metrics.js';
import { createRelay } from './relay/relay.js';
import { createRouterEffects } from './router-effects.js';
import { createRouterLinkServer } from './router-links.js';
import type { RouterContext, RouterParts } from './types.js';

const TICK_MS = 50;

type RouterPart<K extends keyof RouterParts> = Part<RouterParts, RouterParts[K]>;

/** Starts the router. */
export async function startRouter(ctx: RouterContext): Promise<RunningProcess> {
  const tls = await readTlsFiles(ctx.settings.link);
  const { parts, close } = composeProcess<RouterParts>(partTable(ctx, tls));
  const callers = await parts.callerServer;
  const links = await parts.linkServer;
  const { traffic, follower, ticking } = parts;
  void [traffic, follower, ticking];
  const admin = await parts.adminServer;
  ctx.logger.info('listening', {
    callersPort: callers.port,
    linkPort: links.port,
    adminPort: admin.port,
  });
  return { drain: () => drain(ctx, parts), close };
}

async function drain({ clock }: RouterContext, parts: RouterParts): Promise<void> {
  parts.loop.dispatch({ kind: 'stop', nowMs: clock() });
  await parts.stopped.happened;
}

function partTable(ctx: RouterContext, tls: LinkTls | undefined): PartTable<RouterParts> {
  const { registry, clock } = ctx;
  return {
    links: { create: () => new Map() },
    heldRequests: { create: () => new Map() },
    directory: { create: () => ({ now: createDirectory(EMPTY_CONFIG) }) },
    stopped: { create: createSignal },
    relay: relayPart(ctx),
    loop: loopPart(ctx),
    metrics: { create: ({ loop }) => registerRouterMetrics(registry, loop.state) },
    callerServer: callerServerPart(ctx),
    linkServer: {
      create: (parts) => createRouterLinkServer(ctx, tls, parts),
      close: (server) => server.close(),
    },
    traffic: { create: ({ links }) => createLinkTraffic(registry, () => [...links.values()]) },
    follower: followerPart(ctx),
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
        dispatch: (event) => parts.loop.dispatch(event),
        held: (request) => parts.heldRequests.get(request),
      }),
    close: (relay) => relay.close(),
  };
}

function loopPart({ settings, incarnation }: RouterContext): RouterPart<'loop'> {
  const { policy, demandPeriodMs } = settings.fairness;
  return {
    create: (parts) =>
      createLoop<RouterState, RouterEvent, RouterEffect>({
        initialState: createRouterState({ incarnation, policy, demandPeriodMs }),
        reduce: routerReducer,
        handlers: createRouterEffects({
          relay: parts.relay,
          sendTo: (link, message) => parts.links.get(link)?.send(message),
          held: (request) => parts.heldRequests.get(request),
          onStopped: () => parts.stopped.raise(),
        }),
      }),
    close: (loop) => loop.close(),
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
        random: Math.random,
        hold: (request) => holdRequest(parts, request),
        maxBodyBytes,
      });
      return listenHttp(app, host, port);
    },
    close: (server) => server.close(),
  };
}

/** Keeps the request until its connection to the caller has ended. */
function holdRequest({ heldRequests, metrics }: RouterParts, held: HeldRequest): void {
  heldRequests.set(held.request, held);
  held.res.once('close', () => {
    heldRequests.delete(held.request);
    metrics.answered(held.res.statusCode);
  });
}

function followerPart({ settings, logger }: RouterContext): RouterPart<'follower'> {
  const objects = createObjectClient({ url: settings.platform.url });
  return {
    create: ({ directory }) =>
      createConfigFollower({
        store: createConfigStore({ objects }),
        logger,
        onConfig(config) {
          directory.now = createDirectory(config);
        },
      }),
    close: (follower) => follower.close(),
  };
}

function adminPart({ settings, registry, logger, incarnation }: RouterContext) {
  const part: RouterPart<'adminServer'> = {
    create: ({ loop, directory }) =>
      createAdminServer({
        ...settings.admin,
        registry,
        dump: () => ({
          incarnation,
          configVersion: directory.now.version,
          router: loop.state(),
        }),
        ready: () =>
          directory.now.version > 0 ? { ok: true } : { ok: false, reason: 'no configuration yet' },
        logger,
      }),
    close: (server) => server.close(),
  };
  return part;
}
