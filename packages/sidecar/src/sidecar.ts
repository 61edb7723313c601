/** Composition of the sidecar process. */
import type {
  Hasher,
  SidecarProcessEffect,
  SidecarProcessEvent,
  SidecarProcessState,
} from '@kingcupsill/core';
import {
  Role,
  getConfigStatus,
  createHasher,
  createSidecarProcessReducer,
  createSidecarProcessState,
} from '@kingcupsill/core';
import {
  baseHello,
  createSignal,
  createTokenCheck,
  linkOptions,
  listenHttp,
  processSelf,
  repeatTask,
  sharedPartTable,
} from '@kingcupsill/fleet';
import type { LinkTls } from '@kingcupsill/link';
import { createLinkDialer, readTlsFiles } from '@kingcupsill/link';
import type {
  ComponentDefinition,
  ComponentDefinitions,
  RunningProcess,
} from '@kingcupsill/runtime';
import { composeProcess, createAdminServer, createLoop } from '@kingcupsill/runtime';

import { createAttemptApp } from './attempts/attempt-routes.js';
import { createAttemptRegistry } from './attempts/attempt-registry.js';
import { createBackendClient } from './backend/backend-client.js';
import { registerSidecarMetrics } from './metrics.js';
import { createSidecarEffects } from './sidecar-effects.js';
import type { SidecarContext, SidecarParts } from './types.js';

const TICK_MS = 100;
const SYNC_RETRY_MS = 200;

type SidecarPart<K extends keyof SidecarParts> = ComponentDefinition<SidecarParts, SidecarParts[K]>;

/** Starts the sidecar. */
export async function startSidecar(ctx: SidecarContext): Promise<RunningProcess> {
  const tls = await readTlsFiles(ctx.settings.link);
  const hasher = await createHasher();
  const { components: parts, close } = composeProcess<SidecarParts>(partTable(ctx, hasher, tls));
  registerSidecarMetrics(ctx.registry, () => parts.loop.state().sidecar);
  parts.ports.data = (await parts.dataServer).port;
  startWork(parts);
  const admin = await parts.adminServer;
  ctx.logger.info('listening', { dataPort: parts.ports.data, adminPort: admin.port });
  return { drain: () => drain(ctx, parts), close };
}

/** Makes the parts that nothing else asks for. */
function startWork(parts: SidecarParts): void {
  const { traffic, membership, ticking, syncing } = parts;
  void [traffic, membership, ticking, syncing];
}

async function drain({ clock }: SidecarContext, parts: SidecarParts): Promise<void> {
  parts.loop.dispatch({ kind: 'stop', nowMs: clock() });
  await parts.stopped.happened;
  await (await parts.dataServer).idle();
}

function partTable(
  ctx: SidecarContext,
  hasher: Hasher,
  tls: LinkTls | undefined,
): ComponentDefinitions<SidecarParts> {
  const { settings, clock } = ctx;
  return {
    ...sharedPartTable(ctx),
    ports: { create: () => ({ data: 0 }) },
    stopped: { create: createSignal },
    attempts: { create: createAttemptRegistry },
    backend: {
      create: () => createBackendClient(settings.backend),
      close: (backend) => backend.close(),
    },
    loop: loopPart(ctx, hasher),
    dialer: dialerPart(ctx, tls),
    dataServer: dataServerPart(ctx),
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

function loopPart(ctx: SidecarContext, hasher: Hasher): SidecarPart<'loop'> {
  const { settings, clock, logger, incarnation } = ctx;
  const { backend, fairness } = settings;
  return {
    create: (parts) =>
      createLoop<SidecarProcessState, SidecarProcessEvent, SidecarProcessEffect>({
        initialState: createSidecarProcessState({
          self: processSelf(settings.process, incarnation),
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

function dialerPart(ctx: SidecarContext, tls: LinkTls | undefined): SidecarPart<'dialer'> {
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
        handlers: parts.linkFeed.handlers,
      }),
    close: (dialer) => dialer.close(),
  };
}

function dataServerPart(ctx: SidecarContext): SidecarPart<'dataServer'> {
  const { data, link } = ctx.settings;
  const { fleetKey, fleetKeyPrevious } = link;
  const fleetKeys = fleetKeyPrevious === undefined ? [fleetKey] : [fleetKey, fleetKeyPrevious];
  return {
    create(parts) {
      const app = createAttemptApp({
        registry: parts.attempts,
        dispatch: parts.loop.dispatch,
        clock: ctx.clock,
        isToken: createTokenCheck(fleetKeys),
        incarnation: ctx.incarnation,
        maxBodyBytes: data.maxBodyBytes,
      });
      return listenHttp(app, data.host, data.port);
    },
    close: (server) => server.close(),
  };
}

async function tick({ linkFeed, loop }: SidecarParts, nowMs: number): Promise<void> {
  const roundTrips = linkFeed.links().map((open) => ({ link: open.id, rttMs: open.rttMs() }));
  loop.dispatch({ kind: 'round-trips', nowMs, roundTrips });
  loop.dispatch({ kind: 'tick', nowMs });
}

async function syncBackend({ loop, backend }: SidecarParts, clock: () => number): Promise<void> {
  if (loop.state().sidecar.synced) return;
  if (await backend.sync()) loop.dispatch({ kind: 'backend-synced', nowMs: clock() });
}

function adminPart(ctx: SidecarContext): SidecarPart<'adminServer'> {
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
