/** Composition root of the sidecar process. */
import type {
  Hasher,
  SidecarProcessEffect,
  SidecarProcessEvent,
  SidecarProcessState,
} from '@kingcupsill/core';
import {
  Role,
  createHasher,
  createSidecarProcessReducer,
  createSidecarProcessState,
  getConfigStatus,
} from '@kingcupsill/core';
import {
  baseHello,
  createDeferred,
  createProcessDescriptor,
  createTokenVerifier,
  linkOptions,
  listenHttp,
  sharedPartTable,
  startPeriodicTask,
} from '@kingcupsill/fleet';
import type { LinkTls } from '@kingcupsill/link';
import { createLinkDialer, readTlsFiles } from '@kingcupsill/link';
import type {
  ComponentDefinition,
  ComponentDefinitions,
  RunningProcess,
} from '@kingcupsill/runtime';
import { composeProcess, createAdminServer, createLoop } from '@kingcupsill/runtime';

import { createAttemptApp } from './attempts/attempt-app.js';
import { createAttemptRegistry } from './attempts/attempt-registry.js';
import { createBackendClient } from './backend/backend-client.js';
import { registerSidecarMetrics } from './metrics.js';
import { createSidecarEffects } from './sidecar-effects.js';
import type { SidecarContext, SidecarParts } from './types.js';

const TICK_INTERVAL_MS = 100;
const BACKEND_SYNC_INTERVAL_MS = 200;

type SidecarPart<K extends keyof SidecarParts> = ComponentDefinition<SidecarParts, SidecarParts[K]>;

/** Starts the sidecar. Resolves once it listens. */
export async function startSidecar(ctx: SidecarContext): Promise<RunningProcess> {
  const tls = await readTlsFiles(ctx.settings.link);
  const hasher = await createHasher();
  const { components: parts, close } = composeProcess<SidecarParts>(
    createPartTable(ctx, hasher, tls),
  );
  registerSidecarMetrics(ctx.registry, () => parts.loop.state().sidecar);
  parts.ports.data = (await parts.dataServer).port;
  createBackgroundParts(parts);
  const admin = await parts.adminServer;
  ctx.logger.info('listening', { dataPort: parts.ports.data, adminPort: admin.port });
  return { drain: () => drain(ctx, parts), close };
}

/** Creates the parts on which no other part depends. */
function createBackgroundParts(parts: SidecarParts): void {
  const { traffic, membership, ticker, backendSynchronizer } = parts;
  void [traffic, membership, ticker, backendSynchronizer];
}

/** Refuses new attempts, and waits for running attempts and open responses. */
async function drain({ clock }: SidecarContext, parts: SidecarParts): Promise<void> {
  parts.loop.dispatch({ kind: 'stop', nowMs: clock() });
  await parts.stopped.promise;
  await (await parts.dataServer).waitForIdle();
}

function createPartTable(
  ctx: SidecarContext,
  hasher: Hasher,
  tls: LinkTls | undefined,
): ComponentDefinitions<SidecarParts> {
  const { settings, clock } = ctx;
  return {
    ...sharedPartTable(ctx),
    ports: { create: () => ({ data: 0 }) },
    stopped: { create: createDeferred },
    attempts: { create: createAttemptRegistry },
    backend: {
      create: () => createBackendClient(settings.backend),
      close: (backend) => backend.close(),
    },
    loop: createLoopPart(ctx, hasher),
    dialer: createDialerPart(ctx, tls),
    dataServer: createDataServerPart(ctx),
    ticker: {
      create: (parts) => startPeriodicTask(() => tick(parts, clock()), TICK_INTERVAL_MS),
      close: (ticker) => ticker.close(),
    },
    backendSynchronizer: {
      create: (parts) =>
        startPeriodicTask(() => syncBackend(parts, clock), BACKEND_SYNC_INTERVAL_MS),
      close: (synchronizer) => synchronizer.close(),
    },
    adminServer: createAdminPart(ctx),
  };
}

function createLoopPart(ctx: SidecarContext, hasher: Hasher): SidecarPart<'loop'> {
  const { settings, clock, logger, incarnation } = ctx;
  const { backend, fairness } = settings;
  return {
    create: (parts) =>
      createLoop<SidecarProcessState, SidecarProcessEvent, SidecarProcessEffect>({
        initialState: createSidecarProcessState({
          self: createProcessDescriptor(settings.process, incarnation),
          sidecar: {
            backend: backend.id,
            policy: fairness.policy,
            grantTtlMs: fairness.grantTtlMs,
          },
          maxLinks: fairness.maxLinks,
          nowMs: clock(),
        }),
        reduce: createSidecarProcessReducer(hasher),
        handlers: createSidecarEffects({ parts, clock, logger }),
      }),
    close: (loop) => loop.close(),
  };
}

function createDialerPart(ctx: SidecarContext, tls: LinkTls | undefined): SidecarPart<'dialer'> {
  const { settings } = ctx;
  return {
    create: (parts) =>
      createLinkDialer({
        ...linkOptions(settings.link, tls, ctx),
        random: Math.random,
        hello() {
          const { self, config, sidecar } = parts.loop.state();
          return {
            ...baseHello(self, Role.Sidecar, config.config.version),
            dataUrl: `http://${settings.data.host}:${parts.ports.data}`,
            backend: settings.backend.id,
            pool: sidecar.options.pool,
          };
        },
        handlers: parts.linkRegistry.handlers,
      }),
    close: (dialer) => dialer.close(),
  };
}

function createDataServerPart(ctx: SidecarContext): SidecarPart<'dataServer'> {
  const { data, link } = ctx.settings;
  const { fleetKey, fleetKeyPrevious } = link;
  const fleetKeys = fleetKeyPrevious === undefined ? [fleetKey] : [fleetKey, fleetKeyPrevious];
  return {
    create(parts) {
      const app = createAttemptApp({
        registry: parts.attempts,
        dispatch: parts.loop.dispatch,
        clock: ctx.clock,
        isValidToken: createTokenVerifier(fleetKeys),
        incarnation: ctx.incarnation,
        maxBodyBytes: data.maxBodyBytes,
      });
      return listenHttp(app, data.host, data.port);
    },
    close: (server) => server.close(),
  };
}

/** Reports the links' round-trip times and the time to the reducer. */
async function tick({ linkRegistry, loop }: SidecarParts, nowMs: number): Promise<void> {
  const roundTrips = linkRegistry.links().map((link) => ({ link: link.id, rttMs: link.rttMs() }));
  loop.dispatch({ kind: 'round-trips', nowMs, roundTrips });
  loop.dispatch({ kind: 'tick', nowMs });
}

/** Cancels attempts left running by earlier incarnations; does nothing once this has succeeded. */
async function syncBackend({ loop, backend }: SidecarParts, clock: () => number): Promise<void> {
  if (loop.state().sidecar.synced) return;
  if (await backend.sync()) loop.dispatch({ kind: 'backend-synced', nowMs: clock() });
}

function createAdminPart(ctx: SidecarContext): SidecarPart<'adminServer'> {
  const { settings, registry, logger, clock } = ctx;
  return {
    create: ({ loop }) =>
      createAdminServer({
        ...settings.admin,
        registry,
        dump: () => ({ status: getConfigStatus(loop.state().config, clock()), ...loop.state() }),
        ready: () =>
          loop.state().sidecar.synced
            ? { ok: true }
            : { ok: false, reason: 'backend server not reached' },
        logger,
      }),
    close: (server) => server.close(),
  };
}
