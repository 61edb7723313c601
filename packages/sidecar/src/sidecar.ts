/** Composition of the sidecar process. */
import type { FleetConfig, SidecarEffect, SidecarEvent, SidecarState } from '@kingcupsill/core';
import { createSidecarState, sidecarReducer } from '@kingcupsill/core';
import {
  attemptToken,
  createConfigFollower,
  createLinkTraffic,
  createMembership,
  createSignal,
  listenHttp,
  repeatTask,
} from '@kingcupsill/fleet';
import type { LinkTls } from '@kingcupsill/link';
import { readTlsFiles } from '@kingcupsill/link';
import { createConfigStore, createInstanceClient, createObjectClient } from '@kingcupsill/platform';
import type { Part, PartTable, RunningProcess } from '@kingcupsill/runtime';
import { composeProcess, createAdminServer, createLoop } from '@kingcupsill/runtime';

import { createAttemptApp } from './attempts/attempt-routes.js';
import { createAttemptRegistry } from './attempts/attempt-registry.js';
import { createBackendClient } from './backend/backend-client.js';
import { registerSidecarMetrics } from './metrics.js';
import { createSidecarDialer } from './sidecar-dialer.js';
import { createSidecarEffects } from './sidecar-effects.js';
import type { SidecarContext, SidecarParts } from './types.js';

const TICK_MS = 100;
const SYNC_RETRY_MS = 200;

type SidecarPart<K extends keyof SidecarParts> = Part<SidecarParts, SidecarParts[K]>;

/** Starts the sidecar. */
export async function startSidecar(ctx: SidecarContext): Promise<RunningProcess> {
  const tls = await readTlsFiles(ctx.settings.link);
  const { parts, close } = composeProcess<SidecarParts>(partTable(ctx, tls));
  registerSidecarMetrics(ctx.registry, parts.loop.state);
  parts.ports.data = (await parts.dataServer).port;
  startWork(parts);
  const admin = await parts.adminServer;
  ctx.logger.info('listening', { dataPort: parts.ports.data, adminPort: admin.port });
  return { drain: () => drain(ctx, parts), close };
}

/** Makes the parts that nothing else asks for. */
function startWork(parts: SidecarParts): void {
  const { traffic, follower, membership, ticking, syncing } = parts;
  void [traffic, follower, membership, ticking, syncing];
}

async function drain({ clock }: SidecarContext, parts: SidecarParts): Promise<void> {
  parts.loop.dispatch({ kind: 'stop', nowMs: clock() });
  await parts.stopped.happened;
}

function partTable(ctx: SidecarContext, tls: LinkTls | undefined): PartTable<SidecarParts> {
  const { settings, registry, clock } = ctx;
  return {
    links: { create: () => new Map() },
    ports: { create: () => ({ data: 0 }) },
    stopped: { create: createSignal },
    attempts: { create: createAttemptRegistry },
    backend: {
      create: () => createBackendClient(settings.backend),
      close: (backend) => backend.close(),
    },
    loop: loopPart(ctx),
    dataServer: dataServerPart(ctx),
    dialer: {
      create: (parts) => createSidecarDialer(ctx, tls, parts),
      close: (dialer) => dialer.close(),
    },
    traffic: { create: ({ dialer }) => createLinkTraffic(registry, () => dialer.links()) },
    follower: followerPart(ctx),
    membership: membershipPart(ctx),
    ticking: {
      create: (parts) => repeatTask(() => tick(parts, clock()), TICK_MS),
      close: (ticking) => ticking.close(),
    },
    syncing: {
      create: (parts) => repeatTask(() => syncBackend(parts, clock), SYNC_RETRY_MS),
      close: (syncing) => syncing.close(),
    },
    adminServer: adminPart(ctx),
  };
}

function loopPart({ settings, clock }: SidecarContext): SidecarPart<'loop'> {
  const { backend, fairness } = settings;
  return {
    create: (parts) =>
      createLoop<SidecarState, SidecarEvent, SidecarEffect>({
        initialState: createSidecarState({
          backend: backend.id,
          pool: '',
          slots: 0,
          policy: fairness.policy,
          grantTtlMs: fairness.grantTtlMs,
        }),
        reduce: sidecarReducer,
        handlers: createSidecarEffects({
          registry: parts.attempts,
          backend: parts.backend,
          clock,
          dispatch: (event) => parts.loop.dispatch(event),
          sendTo: (link, message) => parts.links.get(link)?.send(message),
          onStopped: () => parts.stopped.raise(),
        }),
      }),
    close: (loop) => loop.close(),
  };
}

function dataServerPart(ctx: SidecarContext): SidecarPart<'dataServer'> {
  const { data, link } = ctx.settings;
  return {
    create(parts) {
      const app = createAttemptApp({
        registry: parts.attempts,
        dispatch: parts.loop.dispatch,
        clock: ctx.clock,
        token: attemptToken(link.fleetKey),
        incarnation: ctx.incarnation,
        maxBodyBytes: data.maxBodyBytes,
      });
      return listenHttp(app, data.host, data.port);
    },
    close: (server) => server.close(),
  };
}

function followerPart(ctx: SidecarContext): SidecarPart<'follower'> {
  const objects = createObjectClient({ url: ctx.settings.platform.url });
  return {
    create: (parts) =>
      createConfigFollower({
        store: createConfigStore({ objects }),
        logger: ctx.logger,
        onConfig: (config) => applyConfig(ctx, parts, config),
      }),
    close: (follower) => follower.close(),
  };
}

function applyConfig(ctx: SidecarContext, parts: SidecarParts, config: FleetConfig): void {
  const { backend } = ctx.settings;
  const own = config.backends[backend.id];
  if (!own) {
    ctx.logger.warn('backend-not-configured', { backend: backend.id });
    return;
  }
  const { pool, slots, draining = false } = own;
  parts.loop.dispatch({ kind: 'configured', nowMs: ctx.clock(), pool, slots, draining });
}

function membershipPart({ settings, logger }: SidecarContext): SidecarPart<'membership'> {
  return {
    create: ({ dialer, loop }) =>
      createMembership({
        instances: createInstanceClient({ url: settings.platform.url }),
        dialer,
        choose: (routers) =>
          loop.state().options.pool === '' ? [] : routers.slice(0, settings.fairness.maxLinks),
        logger,
      }),
    close: (membership) => membership.close(),
  };
}

async function tick({ links, loop }: SidecarParts, nowMs: number): Promise<void> {
  const roundTrips = [...links.values()].map((open) => ({ link: open.id, rttMs: open.rttMs() }));
  loop.dispatch({ kind: 'round-trips', nowMs, roundTrips });
  loop.dispatch({ kind: 'tick', nowMs });
}

async function syncBackend({ loop, backend }: SidecarParts, clock: () => number): Promise<void> {
  if (loop.state().synced) return;
  if (await backend.sync()) loop.dispatch({ kind: 'backend-synced', nowMs: clock() });
}

function adminPart({ settings, registry, logger, incarnation }: SidecarContext) {
  const part: SidecarPart<'adminServer'> = {
    create: ({ loop, follower }) =>
      createAdminServer({
        ...settings.admin,
        registry,
        dump: () => ({
          incarnation,
          configVersion: follower.config().version,
          sidecar: loop.state(),
        }),
        ready: () =>
          loop.state().synced ? { ok: true } : { ok: false, reason: 'backend server not reached' },
        logger,
      }),
    close: (server) => server.close(),
  };
  return part;
}
